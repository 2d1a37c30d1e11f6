//! Random faults, followed by recovery.
//!
//! `GREENGAGE_SEED` and `GREENGAGE_CASES` set the first seed and the number of cases. At every
//! effect `Group` checks that a term has at most one leader, that all nodes apply and restore the
//! same entries at the same index, across restarts too, and that a read covers all entries applied
//! before it arrived.

use greengage_agreement::{Change, EntryKind, Event, MemberRole, Role};
use greengage_core::NodeId;

use crate::support::{id, Disk, Group, Rng};

/// Limit of the time from the end of all faults until a command is committed.
const RECOVERY_LIMIT_MS: u64 = 2000;

/// Seeds of earlier failures. 14004389: no commit within the limit after the faults ended, because
/// with pre-vote off a voter that lacked entries kept splitting the votes.
const REGRESSION_SEEDS: [u64; 1] = [14_004_389];

const INITIAL_MEMBERS: [&[(&str, MemberRole)]; 5] = [
    &[
        ("a", MemberRole::Voter),
        ("b", MemberRole::Voter),
        ("c", MemberRole::Voter),
    ],
    &[
        ("a", MemberRole::Voter),
        ("b", MemberRole::Voter),
        ("w", MemberRole::Witness),
    ],
    &[
        ("a", MemberRole::Voter),
        ("b", MemberRole::Voter),
        ("c", MemberRole::Voter),
        ("l", MemberRole::Learner),
    ],
    &[
        ("a", MemberRole::Voter),
        ("b", MemberRole::Voter),
        ("c", MemberRole::Voter),
        ("d", MemberRole::Voter),
    ],
    &[
        ("a", MemberRole::Voter),
        ("b", MemberRole::Voter),
        ("c", MemberRole::Voter),
        ("d", MemberRole::Voter),
        ("w", MemberRole::Witness),
    ],
];

/// The replacement of a member with a lost disk by a node with a new folder id.
struct Repair {
    lost: NodeId,
    replacement: NodeId,
    seat: MemberRole,
}

struct Case {
    group: Group,
    rng: Rng,
    repair: Option<Repair>,
    lost_disks: u64,
    last_command: u64,
}

impl Case {
    fn new(seed: u64, large_commands: bool) -> Case {
        let mut rng = Rng(seed);
        let members = INITIAL_MEMBERS[rng.below(INITIAL_MEMBERS.len() as u64) as usize];
        let mut group = Group::with_commands(members, seed, large_commands);
        group.compact_entries = [8, 50, u64::MAX][rng.below(3) as usize];
        group.timing.pre_vote = rng.below(4) > 0;
        Case {
            group,
            rng,
            repair: None,
            lost_disks: 0,
            last_command: 0,
        }
    }

    fn pick_node(&mut self, condition: impl Fn(&Group, &NodeId) -> bool) -> Option<NodeId> {
        let group = &self.group;
        let nodes: Vec<&NodeId> = group.nodes.keys().filter(|n| condition(group, n)).collect();
        match nodes.len() {
            0 => None,
            len => Some(nodes[self.rng.below(len as u64) as usize].clone()),
        }
    }

    fn is_lost(&self, node: &NodeId) -> bool {
        self.repair.as_ref().is_some_and(|r| r.lost == *node)
    }

    fn inject_event(&mut self) {
        let any_node = |_: &Group, _: &NodeId| true;
        let running = |g: &Group, n: &NodeId| g.nodes[n].running;
        let is_leader = |g: &Group, n: &NodeId| g.nodes[n].raft.status().role == Role::Leader;
        match self.rng.below(18) {
            0..=4 => {
                if let Some(node) = self.pick_node(is_leader) {
                    for _ in 0..1 + self.rng.below(30) {
                        self.last_command += 1;
                        self.group.propose(&node, self.last_command);
                    }
                }
            }
            5..=7 => {
                self.group.loss_percent = [0, 0, 10, 40][self.rng.below(4) as usize];
                self.group.duplicate_percent = [0, 20][self.rng.below(2) as usize];
                self.group.max_delay_us = [1000, 20_000, 150_000][self.rng.below(3) as usize];
                self.group.max_sync_us = [3000, 100_000][self.rng.below(2) as usize];
            }
            8 => {
                let pair = (
                    self.pick_node(any_node).unwrap(),
                    self.pick_node(any_node).unwrap(),
                );
                self.group.cut_links.insert(pair);
            }
            9 => {
                let node = self.pick_node(any_node).unwrap();
                self.group.isolate(&node, true);
            }
            10 => self.group.cut_links.clear(),
            11 => {
                if let Some(node) = self.pick_node(running) {
                    self.group.crash(&node);
                }
            }
            16..=17 => self.crash_repeatedly(),
            12 => {
                let stopped = self.pick_node(|g, n| !g.nodes[n].running);
                if let Some(node) = stopped.filter(|n| !self.is_lost(n)) {
                    self.group.restart(&node);
                }
            }
            13 => {
                // A paused process loses messages and resumes with stale state.
                let node = self.pick_node(any_node).unwrap();
                let node = self.group.nodes.get_mut(&node).unwrap();
                if node.running || node.frozen {
                    node.frozen = node.running;
                    node.running = !node.running;
                }
            }
            14 => {
                if let Some(node) = self.pick_node(is_leader) {
                    self.group.step(&node, Event::Transfer(None));
                }
            }
            15 => self.lose_disk(),
            _ => unreachable!(),
        }
        // Reads on every node in the leader role, which includes deposed leaders.
        let nodes: Vec<NodeId> = self.group.nodes.keys().cloned().collect();
        for node in nodes {
            if running(&self.group, &node) && is_leader(&self.group, &node) {
                self.group.read(&node);
            }
        }
        self.repair();
    }

    /// Restarts nodes during elections and writes, so that votes and entries that aren't durable
    /// are lost. This fails if other nodes rely on them.
    fn crash_repeatedly(&mut self) {
        for _ in 0..8 {
            let running = self.pick_node(|g, n| g.nodes[n].running);
            if let Some(node) = running {
                self.group.crash(&node);
                self.group.restart(&node);
            }
            let leader = self.pick_node(|g, n| g.nodes[n].raft.status().role == Role::Leader);
            if let Some(node) = leader {
                self.last_command += 1;
                self.group.propose(&node, self.last_command);
            }
            let pause = self.rng.below(80);
            self.group.run(pause);
        }
    }

    /// Loses one disk unless an earlier one isn't replaced yet; a group of three tolerates only one
    /// lost disk at a time.
    fn lose_disk(&mut self) {
        if self.repair.is_some() {
            return;
        }
        let Some(leader) = self.group.leader() else {
            return;
        };
        let config = self.group.nodes[&leader].raft.status().config;
        let Some(lost) = self.pick_node(|_, n| config.members.contains(n)) else {
            return;
        };
        self.lost_disks += 1;
        let replacement = id(&format!("{}#{}", lost.vm, self.lost_disks));
        self.group.crash(&lost);
        self.group.start(&replacement, Disk::default());
        let seat = config.members.get(&lost).copied().unwrap();
        self.repair = Some(Repair {
            lost,
            replacement,
            seat,
        });
    }

    /// Takes the next step of a replacement, as an operator would from a leader's status, even if
    /// that leader has been deposed.
    fn repair(&mut self) {
        let leader = self.pick_node(|g, n| g.nodes[n].raft.status().role == Role::Leader);
        let (Some(repair), Some(leader)) = (&self.repair, leader) else {
            return;
        };
        let members = self.group.nodes[&leader].raft.status().config.members;
        let change = match members.get(&repair.replacement) {
            None => Change::AddLearner(repair.replacement.clone()),
            Some(MemberRole::Learner) if repair.seat != MemberRole::Learner => Change::Promote {
                node: repair.replacement.clone(),
                seat: repair.seat,
            },
            Some(_) => Change::Remove(repair.lost.clone()),
        };
        let removes_lost = matches!(change, Change::Remove(_));
        let ticket = self.group.change(&leader, change);
        self.group.run(50);
        if removes_lost && self.group.committed(ticket) {
            let lost = self.repair.take().expect("a repair").lost;
            self.group.nodes.remove(&lost);
        }
    }

    /// Ends all faults; returns the time in milliseconds until a command is committed.
    fn clear_faults(&mut self) -> u64 {
        self.group.cut_links.clear();
        self.group.loss_percent = 0;
        self.group.duplicate_percent = 0;
        self.group.max_delay_us = 1000;
        self.group.max_sync_us = 3000;
        let nodes: Vec<NodeId> = self.group.nodes.keys().cloned().collect();
        for node in nodes {
            if !self.group.nodes[&node].running && !self.is_lost(&node) {
                self.group.restart(&node);
            }
        }
        self.last_command += 1;
        self.group.commit(self.last_command, RECOVERY_LIMIT_MS)
    }

    /// Checks that a voter leads and that all members have applied every committed command.
    fn check_recovered(&mut self) {
        self.group.run(3000);
        let leader = self.group.elect();
        let status = self.group.nodes[&leader].raft.status();
        assert_eq!(status.config.members.get(&leader), Some(&MemberRole::Voter));
        assert!(status.commit_index >= self.group.max_applied);
        let commands = self.group.applied.values().filter_map(|e| match e.1 {
            EntryKind::Command(command) => Some(command),
            EntryKind::Noop | EntryKind::Config(_) => None,
        });
        let commands: Vec<u64> = commands.collect();
        for node in status.config.members.keys().filter(|n| !self.is_lost(n)) {
            let node = &self.group.nodes[node];
            assert_eq!(node.state, commands);
            assert_eq!(node.raft.status().config, status.config);
        }
    }
}

fn env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect("the variable holds a number"),
        Err(_) => default,
    }
}

/// Guards against two leaders in a term, diverging states, lost commits, stale reads and groups
/// that don't recover, under message loss, reordering, duplication, partitions, crashes, pauses,
/// lost disks, snapshots, membership changes and transfers.
#[test]
fn survives_random_faults() {
    play_cases(false, env("GREENGAGE_CASES", 300));
}

/// Guards against the same where bytes bound the entries that nodes keep and send.
#[test]
fn survives_random_faults_with_large_commands() {
    play_cases(true, env("GREENGAGE_CASES", 100));
}

fn play_cases(large_commands: bool, count: u64) {
    let first = env("GREENGAGE_SEED", 1);
    let mut times = Vec::new();
    let (mut applied, mut reads, mut leaders, mut lost_disks) = (0, 0, 0, 0);
    let cases = first..first + count;
    for seed in cases.chain(REGRESSION_SEEDS) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut case = Case::new(seed, large_commands);
        for _ in 0..80 {
            case.inject_event();
            let pause = case.rng.below(300);
            case.group.run(pause);
        }
        times.push(case.clear_faults());
        case.check_recovered();
        applied += case.group.applied.len();
        reads += case.group.ready_reads.len();
        leaders += case.group.leaders.len();
        lost_disks += case.lost_disks;
    }
    times.sort_unstable();
    println!(
        "{} cases: {applied} entries, {reads} reads, {leaders} leaders, {lost_disks} lost disks; \
         commit after recovery: median {} ms, worst {} ms",
        times.len(),
        times[times.len() / 2],
        times[times.len() - 1],
    );
}
