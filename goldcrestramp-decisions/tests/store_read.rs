//! Which VMs read the store when update sources fail.

use goldcrestramp_decisions::{StoreReadInputs, StoreReadStep};
use goldcrestramp_types::TimeSpan;

const LIMIT_MS: u64 = 2_000;

/// The VMs of one failure domain.
const VMS: usize = 19;

fn span(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

fn inputs(age: u64, rank: usize, has_neighbor: bool) -> StoreReadInputs {
    let (age, limit) = (span(age), span(LIMIT_MS));
    StoreReadInputs { age, limit, rank, has_neighbor }
}

/// The age at which the VM of a rank reads the store.
fn read_age(rank: usize) -> u64 {
    let reads =
        |age: &u64| inputs(*age, rank, false).step() == StoreReadStep::Read;
    (0..=LIMIT_MS).find(reads).expect("every VM reads in time")
}

/// The number of VMs of a failure domain that read the store after all of
/// them have lost their source, if a read takes `read_ms`, and each VM gets
/// the changes from the first one that has read them.
fn readers(read_ms: u64) -> usize {
    let known_at = read_age(0) + read_ms;
    (0..VMS).filter(|rank| read_age(*rank) < known_at).count()
}

/// Guards against all VMs of a failure domain that read the store at once.
#[test]
fn one_vm_of_a_failure_domain_reads_the_store_at_a_time() {
    assert_eq!(readers(250), 1);
    assert_eq!(readers(550), 2);
}

/// Guards against a failure domain that reads nothing because its first VM is
/// lost as well: the next one reads in time.
#[test]
fn the_next_vm_reads_if_the_first_one_does_not() {
    let lost = 2;

    let next = (lost..VMS).map(read_age).min().expect("VMs are left");

    assert!(next <= read_age(0) + 600, "{next} ms");
    assert!(next <= LIMIT_MS - 300, "{next} ms");
}

/// Guards against a delay that is the same for VMs of different ranks.
#[test]
fn the_delay_grows_with_the_rank() {
    assert!(read_age(0) < read_age(1));
    assert!(read_age(1) < read_age(2));
}

/// Guards against a VM whose configuration gets too old because others are to
/// read first.
#[test]
fn every_vm_reads_before_its_configuration_is_too_old() {
    for rank in [0, 3, VMS, usize::MAX] {
        assert!(read_age(rank) <= LIMIT_MS - 300, "rank {rank}");
    }
}

/// Guards against a read over the link between regions while a VM of the own
/// region may have the changes.
#[test]
fn vms_of_the_own_region_are_asked_first() {
    assert_eq!(inputs(900, 0, true).step(), StoreReadStep::AskNeighbor);
    assert_eq!(inputs(1_600, 5, true).step(), StoreReadStep::AskNeighbor);
    assert_eq!(inputs(1_600, 5, false).step(), StoreReadStep::Wait);
    assert_eq!(inputs(1_700, 5, true).step(), StoreReadStep::Read);
}

/// Guards against a VM that never reads because its copy was never known to be
/// current, and against an overflow.
#[test]
fn a_vm_that_knows_nothing_reads_at_once() {
    let unknown = StoreReadInputs {
        age: TimeSpan::from_micros(u64::MAX),
        ..inputs(0, VMS, true)
    };

    assert_eq!(unknown.step(), StoreReadStep::Read);
    assert_eq!(unknown.response_time(), TimeSpan::ZERO);
}

/// Guards against a second read of a change that is already arriving, and
/// against a wait that makes the configuration too old.
#[test]
fn a_response_that_arrives_is_waited_for_until_the_limit() {
    assert_eq!(inputs(400, 0, true).response_time(), span(1_300));
    assert_eq!(inputs(1_900, 0, true).response_time(), TimeSpan::ZERO);
}

/// Guards against a limit of the settings that is shorter than the margins.
#[test]
fn a_short_limit_leaves_no_wait() {
    let short = StoreReadInputs { limit: span(200), ..inputs(0, 3, true) };

    assert_eq!(short.step(), StoreReadStep::Read);
}
