//! The listener for operators over real TCP connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use greengage_agreement::{Change, ChangeError, Config, MemberRole, Role, Status};
use greengage_control::api::{
    ApiError, Documents, Filter, Group, NotReady, Reply, Request, Versioned,
};
use greengage_core::{
    AccountName, Demand, Index, JobKey, Name, NodeId, OpId, Refusal, RequestId, Revision,
    SortedMap, Spread, TargetKind, TargetName, TemplateName, Term, Version, VmName, ZoneName,
};
use greengage_http::admin::{self, AdminListener, Settings};
use greengage_http::{client, document, front, status};
use greengage_policy::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Template,
};
use serde_json::{json, Value};

type ReplyFn = Box<dyn Fn(&Request) -> Option<Reply> + Send + Sync>;

struct Operator {
    admin: AdminListener,
    received: Arc<Mutex<Vec<Request>>>,
}

fn operator(reply_timeout: Duration, answer: ReplyFn) -> Operator {
    let received: Arc<Mutex<Vec<Request>>> = Arc::default();
    let recorded = received.clone();
    let replies: Arc<OnceLock<admin::ReplySender>> = Arc::default();
    let reply_sender = replies.clone();
    let settings = Settings {
        reply_timeout,
        ..Settings::new("127.0.0.1:0".parse().unwrap(), VmName::new("vm1").unwrap())
    };
    let submit = move |id: RequestId, extra_wait: Duration, request: Request| {
        assert!(!front::is_caller(id));
        // With a longer hold, the listener would time out before the reply that there is no leader.
        assert!(extra_wait.is_zero());
        if let Some(reply) = answer(&request) {
            reply_sender.wait().reply(id, reply);
        }
        recorded.lock().unwrap().push(request);
        true
    };
    let admin = admin::start(settings, submit, || "up 1\n".to_string()).unwrap();
    assert!(replies.set(admin.replies()).is_ok());
    Operator { admin, received }
}

fn accepting_operator() -> Operator {
    operator(
        Duration::from_secs(5),
        Box::new(|_| Some(Reply::Acknowledged)),
    )
}

impl Operator {
    fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(10)))
            .build();
        let agent = client::direct_agent(config);
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.admin.address()))
            .body(body.as_bytes().to_vec())
            .unwrap();
        let mut response = agent.run(request).unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        (response.status().as_u16(), text)
    }

    fn last_request(&self) -> Request {
        self.received.lock().unwrap().pop().unwrap()
    }
}

fn zone(text: &str) -> ZoneName {
    ZoneName::new(text).unwrap()
}

fn node(vm: &str, folder: u64) -> NodeId {
    let vm = VmName::new(vm).unwrap();
    NodeId { vm, folder }
}

fn template() -> Template {
    let param = Param {
        kind: ParamKind::Integer,
        default: Some(ParamValue::Integer(-3)),
    };
    Template {
        target: TargetKind::Worker,
        demand: Demand {
            milli_cores: 500,
            memory_mib: 64,
            accelerators: 1,
        },
        spread: Spread::Racks,
        deadline_ms: 1,
        repeatable: true,
        retries: 5,
        max_tasks: 7,
        expected_ms: 9,
        params: [(Name::new("size").unwrap(), param)].into_iter().collect(),
    }
}

fn params() -> Params {
    Params {
        weight: 2,
        quota: 3,
        concurrency: 4,
        burst: 5,
        deadline_ms: Some(6),
        values: [(Name::new("size").unwrap(), ParamValue::Integer(1))]
            .into_iter()
            .collect(),
    }
}

fn edit(op: &str, from: u64, document: Document) -> Request {
    Request::Edit(Command::Edit {
        op: OpId(Name::new(op).unwrap()),
        base_version: Version(from),
        document,
    })
}

/// Each method and path must become the right request with all its fields.
#[test]
fn paths_map_to_requests() {
    let operator = accepting_operator();
    let tours = TemplateName::new("tours").unwrap();
    let acme = AccountName::new("acme").unwrap();
    let put = json!({"op": "o1", "from": 3, "content": document::template_json(&template())});
    let put_params = json!({"op": "o2", "from": 0, "content": document::params_json(&params())});
    let ledger = Group::Ledger(zone("b"));
    let key = JobKey {
        account: acme.clone(),
        zone: zone("a"),
        id: Name::new("7").unwrap(),
    };
    let cases = [
        ("GET", "/readyz", String::new(), Request::Ready),
        ("GET", "/v1/templates", String::new(), Request::Documents),
        (
            "GET",
            "/v1/templates/tours?current=true",
            String::new(),
            Request::Template {
                name: tours.clone(),
                current: true,
            },
        ),
        (
            "PUT",
            "/v1/templates/tours",
            put.to_string(),
            edit(
                "o1",
                3,
                Document::Template {
                    name: tours.clone(),
                    content: Some(template()),
                },
            ),
        ),
        (
            "DELETE",
            "/v1/templates/tours",
            r#"{"op":"o","from":1}"#.to_string(),
            edit(
                "o",
                1,
                Document::Template {
                    name: tours.clone(),
                    content: None,
                },
            ),
        ),
        (
            "GET",
            "/v1/templates/tours/params/acme",
            String::new(),
            Request::Params {
                template: tours.clone(),
                account: acme.clone(),
                current: false,
            },
        ),
        (
            "PUT",
            "/v1/templates/tours/params/acme",
            put_params.to_string(),
            edit(
                "o2",
                0,
                Document::Params {
                    template: tours.clone(),
                    account: acme.clone(),
                    content: Some(params()),
                },
            ),
        ),
        (
            "DELETE",
            "/v1/templates/tours/params/acme",
            r#"{"op":"o","from":1}"#.to_string(),
            edit(
                "o",
                1,
                Document::Params {
                    template: tours,
                    account: acme,
                    content: None,
                },
            ),
        ),
        ("GET", "/v1/targets", String::new(), Request::Targets),
        ("GET", "/v1/vms", String::new(), Request::Vms),
        (
            "GET",
            "/v1/groups/control",
            String::new(),
            Request::Group(Group::Control),
        ),
        (
            "POST",
            "/v1/groups/ledger-b/change",
            r#"{"promote":"vm2#ff","seat":"witness"}"#.to_string(),
            Request::Change {
                group: ledger.clone(),
                change: Change::Promote {
                    node: node("vm2", 255),
                    seat: MemberRole::Witness,
                },
            },
        ),
        (
            "POST",
            "/v1/groups/ledger-b/change",
            r#"{"remove":"vm2#0"}"#.to_string(),
            Request::Change {
                group: ledger.clone(),
                change: Change::Remove(node("vm2", 0)),
            },
        ),
        (
            "POST",
            "/v1/groups/ledger-b/transfer",
            String::new(),
            Request::Transfer {
                group: ledger,
                to: None,
            },
        ),
        (
            "POST",
            "/v1/groups/control/transfer",
            r#"{"to":"vm1#0"}"#.to_string(),
            Request::Transfer {
                group: Group::Control,
                to: Some(node("vm1", 0)),
            },
        ),
        (
            "GET",
            "/v1/timeline?zone=a&account=acme&id=7&target=t%31",
            String::new(),
            Request::Timeline(Filter {
                key: Some(key),
                target: Some(TargetName::new("t1").unwrap()),
            }),
        ),
    ];
    for (method, path, body, expected) in cases {
        let (status, answer) = operator.call(method, path, &body);
        assert_eq!(status, 200, "{method} {path} {answer}");
        assert_eq!(operator.last_request(), expected, "{method} {path}");
    }
    assert_eq!(
        operator.call("GET", "/metrics", ""),
        (200, "up 1\n".to_string())
    );
    assert_eq!(operator.call("GET", "/healthz", "").0, 200);
}

/// An invalid document, path or query must be rejected with the field and the remedy, and must not
/// be submitted.
#[test]
fn invalid_requests_are_rejected() {
    let operator = accepting_operator();
    let put = |content: &str| format!(r#"{{"op":"o","from":0,"content":{content}}}"#);
    let cases = [
        (
            "PUT",
            "/v1/templates/t",
            "{}".to_string(),
            400,
            r#"\"op\" is missing"#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put("{}"),
            400,
            r#"\"content.target\" is missing: give"#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put(r#"{"target":"executer"}"#),
            400,
            r#"give \"executor\" or \"worker\""#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put(r#"{"target":"worker"}"#),
            400,
            r#"\"content.demand\" is missing"#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put(r#"{"target":"executor","dead_line":1}"#),
            400,
            r#"\"content.dead_line\" is not known"#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put(r#"{"target":"executor","deadline_ms":-1}"#),
            400,
            r#"\"content.deadline_ms\" is -1: give a whole"#,
        ),
        (
            "PUT",
            "/v1/templates/t",
            put(r#"{"target":"executor","params":{"a":{"kind":"date"}}}"#),
            400,
            r#"\"content.params.a.kind\" is"#,
        ),
        (
            "PUT",
            "/v1/templates/t/params/a",
            put(r#"{"values":{"a":1.5}}"#),
            400,
            r#"\"content.values.a\" must be"#,
        ),
        (
            "DELETE",
            "/v1/templates/t",
            r#"{"op":"o","from":1,"content":{}}"#.to_string(),
            400,
            r#"\"content\" is not known"#,
        ),
        (
            "POST",
            "/v1/groups/control/change",
            "{}".to_string(),
            400,
            "only one",
        ),
        (
            "POST",
            "/v1/groups/control/change",
            r#"{"remove":"vm1"}"#.to_string(),
            400,
            "give VM#FOLDER",
        ),
        (
            "GET",
            "/v1/groups/other",
            String::new(),
            404,
            "use control or ledger-ZONE",
        ),
        (
            "GET",
            "/v1/templates/t?current=1",
            String::new(),
            400,
            "give true or false",
        ),
        (
            "GET",
            "/v1/vms?x=1",
            String::new(),
            400,
            r#"parameter \"x\" is not known"#,
        ),
        (
            "GET",
            "/v1/timeline?zone=a",
            String::new(),
            400,
            "give all three or none",
        ),
        ("POST", "/v1/vms", String::new(), 405, "this path takes GET"),
        ("GET", "/v2", String::new(), 404, "no such path"),
        (
            "PUT",
            "/v1/templates/t",
            "x".repeat(2 << 20),
            413,
            "the body exceeds",
        ),
    ];
    for (method, path, body, expected, text) in cases {
        let (status, answer) = operator.call(method, path, &body);
        assert_eq!(status, expected, "{method} {path} {answer}");
        assert!(answer.contains(text), "{answer} lacks {text}");
    }
    assert_eq!(operator.received.lock().unwrap().len(), 0);
}

/// Optional fields that are absent must get usable defaults.
#[test]
fn optional_fields_have_defaults() {
    let operator = accepting_operator();
    let body = r#"{"op":"o","from":0,"content":{"target":"executor"}}"#;
    assert_eq!(operator.call("PUT", "/v1/templates/t", body).0, 200);
    let Request::Edit(Command::Edit { document, .. }) = operator.last_request() else {
        panic!("no edit");
    };
    let Document::Template {
        content: Some(content),
        ..
    } = document
    else {
        panic!("no template");
    };
    assert_eq!(
        (content.deadline_ms, content.retries, content.max_tasks),
        (30_000, 0, 1200)
    );
    let body = r#"{"op":"o","from":0,"content":{}}"#;
    assert_eq!(
        operator.call("PUT", "/v1/templates/t/params/a", body).0,
        200
    );
    let Request::Edit(Command::Edit { document, .. }) = operator.last_request() else {
        panic!("no edit");
    };
    let Document::Params {
        content: Some(content),
        ..
    } = document
    else {
        panic!("no parameters");
    };
    assert_eq!(
        (content.weight, content.quota, content.concurrency),
        (1, 10_000, 1000)
    );
}

/// A document that is read must be writable unchanged, or editing one field changes others.
#[test]
fn documents_round_trip() {
    let found = Documents {
        revision: Revision(9),
        templates: vec![(
            TemplateName::new("tours").unwrap(),
            Versioned {
                version: Version(2),
                revision: Revision(9),
                content: template(),
            },
        )],
        params: Vec::new(),
    };
    let answer = operator(
        Duration::from_secs(5),
        Box::new(move |_| Some(Reply::Documents(found.clone()))),
    );
    let (status, text) = answer.call("GET", "/v1/templates", "");
    assert_eq!(status, 200);
    let read: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(read["templates"][0]["version"], 2);
    let put = json!({"op": "o", "from": 2, "content": read["templates"][0]["content"]});
    assert_eq!(
        answer
            .call("PUT", "/v1/templates/tours", &put.to_string())
            .0,
        200
    );
    let content = Some(template());
    let name = TemplateName::new("tours").unwrap();
    assert_eq!(
        answer.last_request(),
        edit("o", 2, Document::Template { name, content })
    );
}

/// A conflict must report the current version, a draining VM must not be ready, and a group's
/// status must be complete.
#[test]
fn replies_keep_their_meaning() {
    let operator = operator(
        Duration::from_secs(5),
        Box::new(|request| {
            Some(match request {
                Request::Edit(_) => Reply::Edit(Outcome::Refused(EditError::Conflict {
                    document: "template \"t\"".to_string(),
                    current: Version(7),
                    edit_version: Version(6),
                })),
                Request::Ready => Reply::NotReady(NotReady::Draining),
                _ => Reply::Group(Status {
                    role: Role::Leader,
                    term: Term(3),
                    leader: Some(node("vm1", 0)),
                    commit_index: Index(5),
                    last_index: Index(6),
                    config: Config {
                        members: [(node("vm1", 0), MemberRole::Voter)].into_iter().collect(),
                    },
                    match_index: SortedMap::new(),
                }),
            })
        }),
    );
    let (status, text) = operator.call("DELETE", "/v1/templates/t", r#"{"op":"o","from":6}"#);
    assert_eq!(status, 409);
    assert!(
        text.contains(r#""current":7"#) && text.contains("read it again"),
        "{text}"
    );
    let (status, text) = operator.call("GET", "/readyz", "");
    assert_eq!((status, text.contains("shutting down")), (503, true));
    let (_, text) = operator.call("GET", "/v1/groups/control", "");
    let expected = json!({
        "role": "leader", "term": 3, "leader": "vm1#0", "commit": 5, "last": 6, "matched": {},
        "members": [{"node": "vm1#0", "seat": "voter"}],
    });
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), expected);
}

/// A request without a reply must time out, and must not be reported as `not_run`.
#[test]
fn missing_reply_times_out() {
    let operator = operator(Duration::from_millis(200), Box::new(|_| None));
    let sent = Instant::now();
    let (status, text) = operator.call("GET", "/v1/vms", "");
    assert_eq!(status, 504);
    assert!(text.contains(r#""not_run":false"#), "{text}");
    assert!(sent.elapsed() < Duration::from_secs(2));
}

/// An error must not be reported as `not_run` unless that is certain, and errors that can be
/// retried must give a delay.
#[test]
fn error_statuses() {
    let key = JobKey {
        account: AccountName::new("a").unwrap(),
        zone: zone("z"),
        id: Name::new("i").unwrap(),
    };
    let retry_ms = 1500;
    let demand = Demand::default();
    let name = TemplateName::new("t").unwrap();
    let target = TargetName::new("t").unwrap();
    let unknown_zone = ApiError::UnknownZone {
        zone: zone("z"),
        known: vec![zone("y")],
    };
    let other_zone = ApiError::OtherZone {
        target: target.clone(),
        zone: zone("z"),
        own: zone("y"),
    };
    let cases = [
        (
            ApiError::Refused(Refusal::DeadlineUnreachable { retry_ms }),
            503,
            true,
            Some(1500),
        ),
        (
            ApiError::Refused(Refusal::QuotaExceeded { limit: 1, retry_ms }),
            429,
            true,
            Some(1500),
        ),
        (
            ApiError::Refused(Refusal::QueueFull { retry_ms }),
            503,
            true,
            Some(1500),
        ),
        (
            ApiError::Refused(Refusal::Unsatisfiable { demand }),
            422,
            true,
            None,
        ),
        (ApiError::Refused(Refusal::Draining), 503, true, Some(0)),
        (ApiError::OtherContent(key.clone()), 409, true, None),
        (ApiError::UnknownKey(key.clone()), 404, false, None),
        (unknown_zone, 404, true, None),
        (
            ApiError::Policy(EditError::UnknownTemplate(name.clone())),
            404,
            true,
            None,
        ),
        (ApiError::Tasks { count: 0, limit: 1 }, 422, true, None),
        (ApiError::MissingId { template: name }, 422, true, None),
        (
            ApiError::UnknownOutcome { key: Some(key) },
            504,
            false,
            None,
        ),
        (
            ApiError::Unavailable {
                what: "x".to_string(),
            },
            503,
            true,
            Some(500),
        ),
        (ApiError::NoLeader(Group::Control), 503, false, Some(500)),
        (ApiError::NotMember(Group::Control), 404, true, None),
        (ApiError::Change(ChangeError::Pending), 409, true, None),
        (ApiError::UnknownTarget(target), 404, true, None),
        (other_zone, 409, true, None),
        (
            ApiError::Busy {
                vm: VmName::new("v").unwrap(),
            },
            503,
            false,
            Some(500),
        ),
    ];
    for (error, code, not_run, retry_ms) in cases {
        let report = status::report(&error);
        let got = (report.status, report.not_run, report.retry_ms);
        assert_eq!(got, (code, not_run, retry_ms), "{error}");
        let body: Value = serde_json::from_slice(&status::error_response(&error).body).unwrap();
        assert_eq!(body["not_run"], not_run);
        assert_eq!(body["retry_ms"].as_u64(), retry_ms);
    }
}

/// Requests that stall, or declare a body too large for any memory, must neither abort the process
/// nor block others.
#[test]
fn stalled_and_oversized_requests() {
    let operator = accepting_operator();
    let send = |text: &str| {
        let mut stream = TcpStream::connect(operator.admin.address()).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let stalled: Vec<TcpStream> = (0..20)
        .map(|_| send("PUT /v1/templates/t HTTP/1.1\r\nContent-Length: 5000\r\n\r\n{"))
        .collect();
    let mut oversized = send("GET /v1/vms HTTP/1.1\r\nContent-Length: 900000000000000\r\n\r\nx");
    let mut start = [0; 12];
    oversized.read_exact(&mut start).unwrap();
    assert_eq!(&start, b"HTTP/1.1 413");
    let sent = Instant::now();
    assert_eq!(operator.call("GET", "/healthz", "").0, 200);
    assert_eq!(operator.call("GET", "/v1/vms", "").0, 200);
    assert!(sent.elapsed() < Duration::from_secs(1));
    drop(stalled);
}

/// Guards against a shutdown that closes operators' connections without an answer.
#[test]
fn shutdown_answers_pending_requests() {
    let mut operator = operator(Duration::from_secs(30), Box::new(|_| None));
    let mut stream = TcpStream::connect(operator.admin.address()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    write!(stream, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    while operator.received.lock().unwrap().is_empty() {
        std::thread::sleep(Duration::from_millis(1));
    }
    operator.admin.shut_down(Duration::from_secs(5));
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 504 "), "{text:?}");
    assert!(text.contains(r#""not_run":false"#), "{text}");
}
