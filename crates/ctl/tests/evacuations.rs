//! The requests of `greengagectl evacuate`, `restore` and `status`.

mod server;

use std::process::{Command, Output};

use server::{answer, listen, serve};

fn run(controls: &str, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_greengagectl"));
    let output = command.args(["--controls", controls]).args(args).output();
    output.unwrap()
}

/// Guards against an order that ends at a VM that doesn't lead or has no majority, and against one with
/// a body, which VMs reject.
#[test]
fn order_reaches_the_leader() {
    let ((follower, asked), (leader, led)) = (listen(), listen());
    let location = format!("Location: http://{led}/v1/evacuations/lampang-b\r\n");
    let answers = vec![
        answer("503 Service Unavailable", "", "{}"),
        answer("307 Temporary Redirect", &location, "{}"),
    ];
    let follower = serve(follower, answers);
    let leader = serve(leader, vec![answer("200 OK", "", "{}")]);
    let output = run(&asked, &["evacuate", "lampang-b"]);
    assert!(output.status.success(), "{output:?}");
    follower.join().unwrap();
    let heads = leader.join().unwrap();
    assert!(
        heads[0].starts_with("put /v1/evacuations/lampang-b "),
        "{heads:?}"
    );
    let lengths = heads[0]
        .lines()
        .filter(|line| line.starts_with("content-length:"));
    assert!(
        lengths.into_iter().all(|line| line.ends_with(": 0")),
        "{heads:?}"
    );
}

/// Guards against an order that is rejected and sent again, or reported as accepted.
#[test]
fn rejected_order_fails_at_once() {
    let (listener, address) = listen();
    let body = r#"{"error":"this deployment has no zone \"x\""}"#;
    let server = serve(listener, vec![answer("404 Not Found", "", body)]);
    let output = run(&address, &["restore", "x"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no zone"));
    assert!(server.join().unwrap()[0].starts_with("delete /v1/evacuations/x "));
}

/// Guards against a status that hides VMs that differ or don't answer.
#[test]
fn status_names_the_zones_of_each_vm() {
    let (listener, address) = listen();
    let (unused, silent) = listen();
    drop(unused);
    let body = r#"{"revision":3,"zones":[{"zone":"lampang-b","since_ms":5,"revision":3}]}"#;
    let server = serve(listener, vec![answer("200 OK", "", body)]);
    let output = run(&format!("{address},{silent}"), &["status"]);
    assert!(output.status.success(), "{output:?}");
    server.join().unwrap();
    let list: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(list[0]["evacuations"]["zones"][0]["zone"], "lampang-b");
    assert_eq!(list[0]["evacuations"]["revision"], 3);
    assert_eq!(list[1]["vm"], silent);
    assert!(list[1]["error"].is_string());
}
