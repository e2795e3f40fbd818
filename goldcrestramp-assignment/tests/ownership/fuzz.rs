//! Any sequence of steps keeps one owner per key, and each guard is needed.

use goldcrestramp_types::SliceIndex;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::cluster::{
    ClusterGuards, CommitDelivery, OrderDelivery, PLANNERS, SERVERS,
    SimulatedCluster,
};

/// The default number of cases; `GOLDCRESTRAMP_FUZZ_CASES` overrides it.
const CASES: u32 = 1_500;

/// The maximum number of steps in a case, exclusive.
const STEPS: usize = 120;

/// One step of a planner, a server or the clock.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    TakeOver(usize, bool),
    Prove(usize),
    Plan(usize, CommitDelivery, u16),
    LateCommit(usize),
    ReadBack(usize),
    Orders(usize, Vec<OrderDelivery>),
    LateOrder(usize),
    Crash(usize),
    Restart(usize),
    Listed(usize, bool),
    Reachable(usize, bool),
    Leave(usize),
}

fn order_delivery() -> impl Strategy<Value = OrderDelivery> {
    prop_oneof![
        6 => Just(OrderDelivery::Delivered),
        1 => Just(OrderDelivery::ResponseLost),
        1 => Just(OrderDelivery::Delayed),
        1 => Just(OrderDelivery::AcceptedLate),
        1 => Just(OrderDelivery::NotSent),
    ]
}

fn commit_delivery() -> impl Strategy<Value = CommitDelivery> {
    prop_oneof![
        6 => Just(CommitDelivery::Done),
        1 => Just(CommitDelivery::ResponseLost),
        1 => Just(CommitDelivery::Delayed),
        1 => Just(CommitDelivery::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let planner = 0..PLANNERS;
    let server = 0..SERVERS;
    let orders = proptest::collection::vec(order_delivery(), 1..4);
    prop_oneof![
        6 => (1_u64..1_500).prop_map(Step::Wait),
        2 => (2_000_u64..8_000).prop_map(Step::Wait),
        3 => (planner.clone(), any::<bool>())
            .prop_map(|(vm, stops)| Step::TakeOver(vm, stops)),
        3 => planner.clone().prop_map(Step::Prove),
        6 => (planner.clone(), commit_delivery(), any::<u16>())
            .prop_map(|(vm, commit, choice)| Step::Plan(vm, commit, choice)),
        1 => planner.clone().prop_map(Step::LateCommit),
        3 => planner.clone().prop_map(Step::ReadBack),
        8 => (planner, orders).prop_map(|(vm, f)| Step::Orders(vm, f)),
        2 => server.clone().prop_map(Step::LateOrder),
        1 => server.clone().prop_map(Step::Crash),
        1 => server.clone().prop_map(Step::Restart),
        2 => (server.clone(), any::<bool>())
            .prop_map(|(n, listed)| Step::Listed(n, listed)),
        2 => (server.clone(), any::<bool>())
            .prop_map(|(n, reached)| Step::Reachable(n, reached)),
        1 => server.prop_map(Step::Leave),
    ]
}

fn apply(cluster: &mut SimulatedCluster, step: &Step) {
    match step {
        Step::Wait(millis) => cluster.wait(*millis),
        Step::TakeOver(vm, stops) => cluster.take_over(*vm, *stops),
        Step::Prove(vm) => cluster.prove(*vm),
        Step::Plan(vm, commit, choice) => cluster.plan(*vm, *commit, *choice),
        Step::LateCommit(vm) => cluster.late_commit(*vm),
        Step::ReadBack(vm) => cluster.read_back(*vm),
        Step::Orders(vm, deliveries) => cluster.send_orders(*vm, deliveries),
        Step::LateOrder(server) => cluster.late_order(*server),
        Step::Crash(server) => cluster.crash(*server),
        Step::Restart(server) => cluster.restart(*server),
        Step::Listed(server, listed) => cluster.set_listed(*server, *listed),
        Step::Reachable(server, reached) => {
            cluster.set_reachable(*server, *reached);
        }
        Step::Leave(server) => cluster.leave(*server),
    }
}

/// Runs random cases; returns the error of the first case in which two
/// servers hold a key.
fn finds_two_owners(guards: ClusterGuards, cases: u32) -> Option<String> {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0a55_1921),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let steps = proptest::collection::vec(step(), 1..STEPS);
    let result = runner.run(&steps, |steps| {
        let mut cluster = SimulatedCluster::open(guards);
        cluster.take_over(0, true);
        for step in &steps {
            apply(&mut cluster, step);
            if let Some(slice) = cluster.slice_with_two_holders() {
                let text = format!("{slice:?} has two owners");
                return Err(TestCaseError::fail(text));
            }
        }
        Ok(())
    });
    result.err().map(|error| error.to_string())
}

/// Whether two servers hold a key after any of these steps.
fn two_owners_in(guards: ClusterGuards, steps: &[Step]) -> bool {
    let mut cluster = SimulatedCluster::open(guards);
    cluster.take_over(0, true);
    steps.iter().any(|step| {
        apply(&mut cluster, step);
        cluster.slice_with_two_holders().is_some()
    })
}

fn cases() -> u32 {
    let setting = std::env::var("GOLDCRESTRAMP_FUZZ_CASES").ok();
    setting.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

/// With all guards, no sequence of faults gives a key two owners.
#[test]
fn any_sequence_of_faults_keeps_one_owner_per_key() {
    let found = finds_two_owners(ClusterGuards::ALL, cases());

    assert_eq!(found, None);
}

/// A replaced planner that does not know of its successor commits a table. If
/// the commit did not depend on its own record, it would take effect.
#[test]
fn without_a_condition_on_the_record_a_replaced_planner_commits() {
    let guards =
        ClusterGuards { commit_needs_record: false, ..ClusterGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// Lets time pass while a planner keeps its lease.
fn keep(vm: usize, millis: u64) -> Vec<Step> {
    let part = 2_000;
    (0..millis / part)
        .flat_map(|_| [Step::Wait(part), Step::Prove(vm)])
        .chain([Step::Wait(millis % part), Step::Prove(vm)])
        .collect()
}

/// A planner loses its lease. `renewed` milliseconds after its successor has
/// taken over, it renews a grant over an existing connection to a server that
/// the successor can't reach. `waited` milliseconds later the successor
/// plans for that server's keys.
fn cut_off_planner_renews(renewed: u64, waited: u64) -> Vec<Step> {
    let delivered = || vec![OrderDelivery::Delivered];
    let lease_lost = [
        Step::Orders(0, delivered()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Listed(0, false),
        Step::Reachable(0, false),
        Step::Plan(1, CommitDelivery::Done, 60_000),
        Step::Orders(1, delivered()),
    ];
    let renewal = [
        Step::Reachable(0, true),
        Step::Orders(0, delivered()),
        Step::Reachable(0, false),
    ];
    let reassigned = [
        Step::Plan(1, CommitDelivery::Done, 60_000),
        Step::Orders(1, delivered()),
    ];
    lease_lost
        .into_iter()
        .chain(keep(1, renewed))
        .chain(renewal)
        .chain(keep(1, waited))
        .chain(reassigned)
        .collect()
}

/// A planner without its lease can still reach a server that its successor
/// can't. If the successor waited only for its own grants, that server and
/// the new owner would both serve the keys.
#[test]
fn without_a_wait_for_the_predecessor_a_key_gets_two_owners() {
    let steps = cut_off_planner_renews(6_000, 3_000);
    let guards =
        ClusterGuards { waits_for_predecessor: false, ..ClusterGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(ClusterGuards::ALL, &steps));
}

/// The same, long after the successor has taken over. If a planner without
/// its lease renewed forever, no wait would be long enough.
#[test]
fn without_a_limit_on_renewals_no_wait_is_long_enough() {
    let steps = cut_off_planner_renews(18_500, 2_500);
    let guards =
        ClusterGuards { stops_without_proof: false, ..ClusterGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(ClusterGuards::ALL, &steps));
}

/// A grant is delivered after its keys were released and reassigned. A server
/// that did not compare tokens would accept it.
#[test]
fn without_token_checks_a_delayed_grant_creates_a_second_owner() {
    let guards =
        ClusterGuards { servers_check_tokens: false, ..ClusterGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// A server crashes and restarts under its id before the planner knows. A
/// renewal meant for the previous instance reaches the new one, which knows
/// no token and accepts it. If the keys of the previous instance were
/// reassigned at once, two servers would serve them until the grant expires.
#[test]
fn without_a_release_a_restarted_server_holds_keys_of_its_previous_instance() {
    let guards =
        ClusterGuards { releases_restarted: false, ..ClusterGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// A planner without its lease renews what its table grants. Its successor
/// moves a range away from a server, which then restarts under its id and
/// loses the higher token. The previous planner's renewal, over a new
/// connection, would make the server an owner again.
#[test]
fn with_new_connections_a_previous_planner_restores_an_old_owner() {
    let delivered = || vec![OrderDelivery::Delivered];
    let steps = [
        Step::Orders(0, delivered()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Plan(1, CommitDelivery::Done, 22_061),
        Step::Orders(1, delivered()),
        Step::Plan(1, CommitDelivery::Done, 0),
        Step::Restart(1),
        Step::Orders(0, delivered()),
        Step::Orders(1, delivered()),
    ];
    let guards =
        ClusterGuards { keeps_to_connections: false, ..ClusterGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(ClusterGuards::ALL, &steps));
}

/// A server is overloaded by new connections. A renewal times out and is
/// accepted seconds later, and its duration counts from then. The release
/// that follows can't be sent. If the keys were reassigned when the grant
/// expires as counted from the timeout, both servers would run requests.
#[test]
fn keys_of_a_server_that_accepts_grants_late_are_not_reassigned_early() {
    let delivered = || vec![OrderDelivery::Delivered];
    let overrun = [
        Step::Orders(0, delivered()),
        Step::Wait(1_600),
        Step::Prove(0),
        Step::Orders(0, vec![OrderDelivery::AcceptedLate]),
        Step::Plan(0, CommitDelivery::Done, 1),
        Step::Reachable(0, false),
        Step::Wait(1_900),
        Step::LateOrder(0),
    ];
    let unreachable = [
        Step::Orders(0, vec![OrderDelivery::NotSent]),
        Step::Plan(0, CommitDelivery::Done, 30_000),
        Step::Orders(0, delivered()),
    ];
    let steps: Vec<Step> =
        overrun.into_iter().chain(keep(0, 3_800)).chain(unreachable).collect();

    assert!(!two_owners_in(ClusterGuards::ALL, &steps));
}

/// The planner before the one that has stopped may still renew grants. A
/// new planner that did not wait for those would create two owners.
#[test]
fn a_stopped_planner_does_not_prove_that_earlier_ones_stopped() {
    let delivered = || vec![OrderDelivery::Delivered];
    let lease_lost = [
        Step::Orders(0, delivered()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Wait(500),
        Step::TakeOver(2, true),
        Step::Listed(0, false),
        Step::Reachable(0, false),
        Step::Plan(2, CommitDelivery::Done, 60_000),
        Step::Orders(2, delivered()),
    ];
    let renewal = [
        Step::Reachable(0, true),
        Step::Orders(0, delivered()),
        Step::Reachable(0, false),
    ];
    let reassigned = [
        Step::Plan(2, CommitDelivery::Done, 60_000),
        Step::Orders(2, delivered()),
    ];
    let steps: Vec<Step> = lease_lost
        .into_iter()
        .chain(keep(2, 6_000))
        .chain(renewal)
        .chain(keep(2, 2_500))
        .chain(reassigned)
        .collect();

    assert!(!two_owners_in(ClusterGuards::ALL, &steps));
}

/// If the simulated cluster served nothing, no key could have two owners.
/// This guards against tests that pass for that reason.
#[test]
fn a_cluster_without_faults_serves_every_key() {
    let mut cluster = SimulatedCluster::open(ClusterGuards::ALL);
    cluster.take_over(0, true);
    for _ in 0..20 {
        cluster.wait(200);
        cluster.prove(0);
        cluster.send_orders(0, &[OrderDelivery::Delivered]);
    }

    let mut slices = (0..=u16::MAX).step_by(97).map(SliceIndex::from);

    assert!(slices.all(|slice| cluster.is_served(slice)));
}
