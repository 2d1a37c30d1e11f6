//! Leadership of the control group while several control VMs shut down.

use std::time::Duration;

use greengage_agreement::{Config, MemberRole, Timing};
use greengage_cluster::{gossip, Cluster, Effect, Event, Hints, Setup};
use greengage_config as config;
use greengage_config::RecoveredState;
use greengage_core::{Address, Incarnation, NodeId, Time, VmName, WallTime, ZoneName};

const VMS: usize = 3;

fn vm_name(vm: usize) -> VmName {
    VmName::new(&format!("10.0.0.{}", vm + 1)).unwrap()
}

fn address(vm: usize) -> Address {
    Address::new(&format!("10.0.0.{}:7700", vm + 1)).unwrap()
}

fn node(vm: usize) -> NodeId {
    NodeId {
        vm: vm_name(vm),
        folder: 0,
    }
}

fn setup(vm: usize, seed: u64) -> Setup {
    let members = (0..VMS).map(|vm| (node(vm), MemberRole::Voter)).collect();
    let group = config::Setup {
        node: node(vm),
        recovered: RecoveredState {
            config: Config { members },
            ..RecoveredState::default()
        },
        timing: Timing::default(),
        voters: VMS,
        seed: seed * 10 + vm as u64,
        now: Time::default(),
    };
    let member = gossip::Member {
        vm: vm_name(vm),
        zone: ZoneName::new("a").unwrap(),
        address: address(vm),
        api: Some(address(vm)),
        incarnation: Incarnation(1),
        roles: gossip::Roles {
            entry: false,
            control: true,
        },
        folder_id: Some(0),
        leaving: false,
    };
    Setup {
        member,
        seeds: (0..VMS).map(address).collect(),
        timing: gossip::Timing::default(),
        report_memory: 1 << 26,
        group: Some(group),
        scheduler: None,
        hints: Hints::default(),
        grace_period: Duration::from_secs(6),
    }
}

/// VMs whose messages arrive and whose saves complete 1 ms after they were sent.
struct Deployment {
    vms: Vec<Cluster>,
    ms: u64,
    pending: Vec<(usize, Event)>,
}

impl Deployment {
    fn new(seed: u64) -> Deployment {
        let new_vm = |vm| Cluster::new(Time::default(), setup(vm, seed));
        Deployment {
            vms: (0..VMS).map(new_vm).collect(),
            ms: 0,
            pending: Vec::new(),
        }
    }

    fn step(&mut self, vm: usize, event: Event) {
        let (now, wall) = (Time::from_millis(self.ms), WallTime(self.ms));
        for effect in self.vms[vm].step(now, wall, event) {
            match effect {
                Effect::Send { to, stamp, message } => {
                    let from = vm_name(vm);
                    let to = (0..VMS).find(|vm| address(*vm) == to).unwrap();
                    let event = Event::Receive {
                        from,
                        stamp,
                        message,
                    };
                    self.pending.push((to, event));
                }
                Effect::Save(save) => self.pending.push((vm, Event::Saved(save.seq))),
                _ => {}
            }
        }
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.ms += 1;
            for (vm, event) in std::mem::take(&mut self.pending) {
                self.step(vm, event);
            }
            for vm in 0..VMS {
                self.step(vm, Event::Tick);
            }
        }
    }

    fn leader(&mut self) -> Option<usize> {
        let now = Time::from_millis(self.ms);
        (0..VMS).find(|vm| self.vms[*vm].status(now).is_leader)
    }

    fn shut_down(&mut self, vm: usize) {
        let requested = Time::from_millis(self.ms);
        self.step(vm, Event::Shutdown { requested });
    }
}

/// Guards against leadership that passes to a VM which shuts down as well, and ends with its
/// process, although another voter stays.
#[test]
fn leadership_passes_to_a_voter_that_stays() {
    for seed in 0..10 {
        let mut deployment = Deployment::new(seed);
        deployment.run(3000);
        let leader = deployment.leader().expect("a leader");
        for leaving in (0..VMS).filter(|vm| *vm != leader) {
            let mut deployment = Deployment::new(seed);
            deployment.run(3000);
            assert_eq!(deployment.leader(), Some(leader));
            let staying = VMS - leader - leaving;
            deployment.shut_down(leaving);
            deployment.run(300);
            deployment.shut_down(leader);
            deployment.run(2000);
            let last = deployment.leader();
            assert_eq!(
                last,
                Some(staying),
                "seed {seed}: {leader} and {leaving} leave"
            );
        }
    }
}
