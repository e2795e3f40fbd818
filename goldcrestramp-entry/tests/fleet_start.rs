//! A fleet whose VMs all start at the same moment, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use goldcrestramp_entry::{
    control::{SyncState, UpdateSource, starting_vms},
    records::VmInstance,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

/// VMs in each of four failure domains.
const VMS_IN_DOMAIN: u16 = 75;

/// Of two regions, in the one of the store and in the other one.
const ROUND_TRIPS: [TimeSpan; 4] = [
    TimeSpan::from_millis(5),
    TimeSpan::from_millis(6),
    TimeSpan::from_millis(28),
    TimeSpan::from_millis(29),
];

/// How long a read of the full store takes.
const FULL_READ: TimeSpan = TimeSpan::from_millis(1_400);

/// How long a VM holds a call while it has nothing new.
const HOLD: TimeSpan = TimeSpan::from_millis(400);

/// How long a connection to a VM that does not run takes to fail.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

fn start() -> LocalTime {
    LocalTime::from_micros(1_000_000_000)
}

/// A VM that starts, with its copy of the store reduced to when it is there.
struct StartingVm {
    me: VmInstance,
    round_trip: TimeSpan,
    sync: SyncState,
    /// The entries of its failure domain that it knows.
    known: Vec<VmInstance>,
    loaded_at: Option<LocalTime>,
    runs: bool,
}

impl StartingVm {
    /// Two calls to the store, after the first read of entries.
    fn registered_at(&self) -> LocalTime {
        let round_trips = self.round_trip.percent(300);
        start() + round_trips
    }
}

fn fleet() -> Vec<StartingVm> {
    let mut vms = Vec::new();
    for (domain, round_trip) in (0_u8..).zip(ROUND_TRIPS) {
        for number in 0..VMS_IN_DOMAIN {
            let me = VmInstance {
                vm: format!("vm-{domain}-{number}").into(),
                start: 1,
                domain: format!("domain-{domain}").into(),
                address: ([10, domain, 0, 1], number).into(),
                capacity: 20,
                relay_address: None,
            };
            vms.push(StartingVm {
                me,
                round_trip,
                sync: SyncState::default(),
                known: Vec::new(),
                loaded_at: None,
                runs: true,
            });
        }
    }
    vms
}

/// Plays the start of a fleet; returns the number of full reads of the store,
/// and when the last VM has its contents.
fn play(mut vms: Vec<StartingVm>) -> (usize, TimeSpan) {
    let indices: BTreeMap<SocketAddr, usize> =
        vms.iter().enumerate().map(|(i, vm)| (vm.me.address, i)).collect();
    let running = (0..vms.len()).filter(|index| vms[*index].runs);
    let mut due: BTreeSet<_> = running.map(|i| (start(), i)).collect();
    let mut full_reads = 0;
    let mut last = start();
    while let Some((now, index)) = due.pop_first() {
        assert!(now < start() + TimeSpan::from_millis(30_000), "no VM waits");
        if now >= vms[index].registered_at() {
            vms[index].sync.record_registration();
        }
        let better = starting_vms(&vms[index].me, &vms[index].known);
        let peers: Vec<_> = better.iter().map(|vm| vm.address).collect();
        let source = vms[index].sync.next(now, 0, peers.into_iter());
        let next = match source {
            UpdateSource::AwaitEntry => now + TimeSpan::from_millis(20),
            UpdateSource::StoreVms => {
                let entries = entries_at(&vms, &vms[index].me.domain, now);
                let done = now + vms[index].round_trip;
                vms[index].known = entries;
                vms[index].sync.record_vms(done);
                done
            }
            UpdateSource::Peer(address, _revision) => {
                let peer = &vms[indices[&address]];
                let held_until = now + HOLD;
                let loaded = peer.loaded_at.filter(|at| *at < held_until);
                match (peer.runs, loaded) {
                    (true, Some(at)) => {
                        vms[index].loaded_at = Some(at.max(now));
                        last = last.max(at.max(now));
                        continue;
                    }
                    (true, None) => {
                        let sync = &mut vms[index].sync;
                        sync.record_peer_response(held_until, address, false);
                        held_until
                    }
                    (false, _) => {
                        let done = now + CONNECT_TIMEOUT;
                        vms[index].sync.record_peer_failure(done, address);
                        done
                    }
                }
            }
            UpdateSource::FullStore => {
                full_reads += 1;
                let done = now + FULL_READ;
                vms[index].loaded_at = Some(done);
                last = last.max(done);
                continue;
            }
            UpdateSource::StoreChanges(_) => unreachable!("nothing is known"),
        };
        due.insert((next, index));
    }
    (full_reads, last.since(start()))
}

/// The entries of a failure domain that are in the store.
fn entries_at(
    vms: &[StartingVm],
    domain: &str,
    now: LocalTime,
) -> Vec<VmInstance> {
    let present = |vm: &&StartingVm| {
        &*vm.me.domain == domain && (!vm.runs || vm.registered_at() <= now)
    };
    vms.iter().filter(present).map(|vm| vm.me.clone()).collect()
}

/// Guards against a region that serves nobody after its VMs started together.
/// Each found no other VM, read the full store over the link between the
/// regions, and timed out because all others did the same.
#[test]
fn one_vm_of_each_domain_reads_the_full_store() {
    let fleet = fleet();

    let (full_reads, last) = play(fleet);

    assert_eq!(full_reads, ROUND_TRIPS.len());
    assert!(last < TimeSpan::from_millis(2_000), "last after {last:?}");
}

/// Guards against a domain that waits for VMs which no longer run, while their
/// entries are still there, and against a read by each VM in that case.
#[test]
fn a_domain_starts_although_its_best_vms_do_not() {
    let mut fleet = fleet();
    let best: BTreeSet<Box<str>> = (0..ROUND_TRIPS.len())
        .flat_map(|domain| best_of(&fleet, &format!("domain-{domain}")))
        .collect();
    for vm in &mut fleet {
        vm.runs = !best.contains(&*vm.me.vm);
    }

    let (full_reads, last) = play(fleet);

    assert_eq!(full_reads, ROUND_TRIPS.len());
    assert!(last < TimeSpan::from_millis(3_500), "last after {last:?}");
}

/// The names of the three best-ranked VMs of a domain.
fn best_of(vms: &[StartingVm], domain: &str) -> Vec<Box<str>> {
    let members = vms.iter().filter(|vm| &*vm.me.domain == domain);
    let mut members: Vec<_> = members.collect();
    members.sort_by_key(|vm| std::cmp::Reverse(vm.me.duty_rank()));
    let best = members.iter().take(3);
    best.map(|vm| vm.me.vm.as_ref().into()).collect()
}
