//! Requests of callers and operators, and their replies.

use super::*;

impl Simulation {
    pub(crate) fn request(
        &mut self,
        vm: usize,
        kind: RequestKind,
        request: Request,
    ) -> Option<(usize, u64, RequestId)> {
        if !self.vms[vm].up() {
            return None;
        }
        let v = &mut self.vms[vm];
        v.last_request += 1;
        let id = RequestId(v.last_request);
        let key = (vm, v.incarnation, id);
        let wait = Duration::from_millis(*[0, 100, 1000, 3000].choose(&mut self.rng).unwrap());
        self.trace_event(|| format!("request {id} to vm {vm}: {kind:?}"));
        self.open.insert(
            key,
            OpenRequest {
                kind,
                issued_at: self.now,
            },
        );
        self.step(vm, Event::Request { id, wait, request });
        Some(key)
    }

    pub(crate) fn reply(&mut self, vm: usize, id: RequestId, reply: Reply) {
        let key = (vm, self.vms[vm].incarnation, id);
        let open = self
            .open
            .remove(&key)
            .unwrap_or_else(|| panic!("(3) second reply to {key:?}: {reply:?}"));
        self.trace_event(|| format!("reply {id} from vm {vm}: {reply:?}"));
        if let Some(isolated) = self.isolated.get(&vm) {
            let late = open.issued_at > isolated + 2 * SEC;
            let current = matches!(
                (&open.kind, &reply),
                (RequestKind::Edit(_), Reply::Edit(_))
                    | (RequestKind::Read(..), Reply::Template(_))
            );
            assert!(
                !(late && current),
                "(10) vm {vm}, cut off since {isolated}, answers {reply:?}"
            );
        }
        self.checker.check_reply(&open, &reply, self.now);
        match (&open.kind, &reply) {
            (
                RequestKind::Edit(_),
                Reply::Edit(policy::Outcome::Refused(policy::EditError::Conflict {
                    document,
                    current,
                    ..
                })),
            ) => {
                let document = document
                    .trim_start_matches("template ")
                    .trim_matches('"')
                    .to_string();
                self.versions.insert(document, *current);
            }
            (RequestKind::Read(document, _), Reply::Template(read)) => {
                self.versions.insert(document.clone(), read.version);
            }
            (RequestKind::Change, reply) => self.apply_change_reply(reply),
            _ => {}
        }
    }

    pub(crate) fn any_vm(&mut self, zone: Option<&ZoneName>) -> Option<usize> {
        let fits = |vm: &usize| {
            self.vms[*vm].up() && zone.is_none_or(|zone| self.vms[*vm].site.zone() == zone)
        };
        let vms: Vec<usize> = (0..self.vms.len()).filter(fits).collect();
        vms.choose(&mut self.rng).copied()
    }

    pub(crate) fn send_request(&mut self, kind: RequestKind, request: Request) {
        if let Some(vm) = self.any_vm(None) {
            self.request(vm, kind, request);
        }
    }

    pub(crate) fn tasks(id: &str, content: u8) -> Vec<Payload> {
        let task = |n| Payload::new(format!("{id}.{content}.{n}").into_bytes());
        let count = [1, 1, 3, 6][id.len() % 2 * 2 + content as usize % 2];
        (0..count).map(task).collect()
    }

    pub(crate) fn submit(&mut self, key: JobKey, content: u8) {
        let tasks = Self::tasks(key.id.as_str(), content);
        let digest = Digest([content; 32]);
        let (account, zone, id) = (key.account.clone(), Some(key.zone.clone()), key.id.clone());
        let template = name("job", TemplateName::new);
        let request = match tasks.len() {
            1 => Request::Single(NewRequest {
                account,
                zone,
                id: Some(id),
                template,
                digest,
                task: tasks[0].clone(),
            }),
            _ => Request::Submit(NewJob {
                account,
                zone,
                id,
                template,
                digest,
                tasks: tasks.clone(),
            }),
        };
        self.submitted.push((key.clone(), request.clone(), content));
        self.send_submission(key, request, content);
    }

    pub(crate) fn send_submission(&mut self, key: JobKey, request: Request, content: u8) {
        let Some(vm) = self.any_vm(None) else { return };
        let tasks = Self::tasks(key.id.as_str(), content);
        let number = self
            .checker
            .record_submission(&key, content, &tasks, self.now);
        self.request(vm, RequestKind::Submit(key, content, number), request);
    }

    pub(crate) fn template(&mut self, repeatable: bool) -> Template {
        Template {
            target: TargetKind::Executor,
            demand: Demand::default(),
            spread: Spread::Any,
            deadline_ms: self.rng.random_range(3000..9000),
            repeatable,
            retries: 2,
            max_tasks: 10,
            expected_ms: 200,
            params: SortedMap::new(),
        }
    }

    pub(crate) fn edit(&mut self, document: &str) {
        let repeatable = document == "ping";
        let content = Some(self.template(repeatable));
        let document_name = name(document, TemplateName::new);
        self.edit_to(
            document,
            Document::Template {
                name: document_name,
                content,
            },
        );
    }

    pub(crate) fn edit_to(&mut self, document: &str, content: Document) {
        self.last_id += 1;
        let op = self.last_id;
        let base_version = self.versions.get(document).copied().unwrap_or_default();
        let id = OpId(name(&format!("op{op}"), Name::new));
        let request = Request::Edit(policy::Command::Edit {
            op: id,
            base_version,
            document: content,
        });
        self.checker
            .record_edit(op, document, base_version, self.now);
        self.edits.push((op, request.clone()));
        self.send_request(RequestKind::Edit(op), request);
    }
}
