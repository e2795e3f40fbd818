//! Any order of steps keeps one owner a key, and each guard is needed.

use goldcrestramp_types::SliceIndex;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::world::{
    CommitFate, OrderFate, PLANNERS, SERVERS, World, WorldGuards,
};

/// The cases of a run; more by the environment.
const CASES: u32 = 1_500;

/// Steps of one case.
const STEPS: usize = 120;

/// One step of one participant.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    TakeOver(usize, bool),
    Prove(usize),
    Plan(usize, CommitFate, u16),
    LateCommit(usize),
    ReadBack(usize),
    Orders(usize, Vec<OrderFate>),
    LateOrder(usize),
    Crash(usize),
    Restart(usize),
    Listed(usize, bool),
    Reachable(usize, bool),
    Leave(usize),
}

fn order_fate() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        6 => Just(OrderFate::Arrives),
        1 => Just(OrderFate::AnswerLost),
        1 => Just(OrderFate::Late),
        1 => Just(OrderFate::TakenLate),
        1 => Just(OrderFate::NotSent),
    ]
}

fn commit_fate() -> impl Strategy<Value = CommitFate> {
    prop_oneof![
        6 => Just(CommitFate::Done),
        1 => Just(CommitFate::AnswerLost),
        1 => Just(CommitFate::Late),
        1 => Just(CommitFate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let planner = 0..PLANNERS;
    let server = 0..SERVERS;
    let orders = proptest::collection::vec(order_fate(), 1..4);
    prop_oneof![
        6 => (1_u64..1_500).prop_map(Step::Wait),
        2 => (2_000_u64..8_000).prop_map(Step::Wait),
        3 => (planner.clone(), any::<bool>())
            .prop_map(|(vm, stops)| Step::TakeOver(vm, stops)),
        3 => planner.clone().prop_map(Step::Prove),
        6 => (planner.clone(), commit_fate(), any::<u16>())
            .prop_map(|(vm, fate, wish)| Step::Plan(vm, fate, wish)),
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

fn play(world: &mut World, step: &Step) {
    match step {
        Step::Wait(millis) => world.wait(*millis),
        Step::TakeOver(vm, stops) => world.take_over(*vm, *stops),
        Step::Prove(vm) => world.prove(*vm),
        Step::Plan(vm, fate, wish) => world.plan(*vm, *fate, *wish),
        Step::LateCommit(vm) => world.late_commit(*vm),
        Step::ReadBack(vm) => world.read_back(*vm),
        Step::Orders(vm, fates) => world.send_orders(*vm, fates),
        Step::LateOrder(server) => world.late_order(*server),
        Step::Crash(server) => world.crash(*server),
        Step::Restart(server) => world.restart(*server),
        Step::Listed(server, listed) => world.set_listed(*server, *listed),
        Step::Reachable(server, reached) => {
            world.set_reachable(*server, *reached);
        }
        Step::Leave(server) => world.leave(*server),
    }
}

/// Plays cases until two servers hold a key; whether that happened.
fn finds_two_owners(guards: WorldGuards, cases: u32) -> Option<String> {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0a55_1921),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let steps = proptest::collection::vec(step(), 1..STEPS);
    let result = runner.run(&steps, |steps| {
        let mut world = World::open(guards);
        world.take_over(0, true);
        for step in &steps {
            play(&mut world, step);
            if let Some(slice) = world.doubly_held() {
                let text = format!("{slice:?} has two owners");
                return Err(TestCaseError::fail(text));
            }
        }
        Ok(())
    });
    result.err().map(|error| error.to_string())
}

/// Whether two servers hold a key at any time of these steps.
fn two_owners_in(guards: WorldGuards, steps: &[Step]) -> bool {
    let mut world = World::open(guards);
    world.take_over(0, true);
    steps.iter().any(|step| {
        play(&mut world, step);
        world.doubly_held().is_some()
    })
}

fn cases() -> u32 {
    let said = std::env::var("GOLDCRESTRAMP_FUZZ_CASES").ok();
    said.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

#[test]
fn any_order_of_faults_keeps_one_owner_a_key() {
    let found = finds_two_owners(WorldGuards::ALL, cases());

    assert_eq!(found, None);
}

#[test]
fn without_the_record_as_a_condition_a_deposed_planner_decides() {
    let guards =
        WorldGuards { commit_needs_record: false, ..WorldGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// Time passes while a planner keeps its lease.
fn keep(vm: usize, millis: u64) -> Vec<Step> {
    let part = 2_000;
    (0..millis / part)
        .flat_map(|_| [Step::Wait(part), Step::Prove(vm)])
        .chain([Step::Wait(millis % part), Step::Prove(vm)])
        .collect()
}

/// A planner loses its lease and renews over a kept connection, `renewed`
/// milliseconds after its successor has come, what that one can't reach;
/// `waited` milliseconds later the successor plans for the server's keys.
fn cut_off_planner_renews(renewed: u64, waited: u64) -> Vec<Step> {
    let arrives = || vec![OrderFate::Arrives];
    let lost = [
        Step::Orders(0, arrives()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Listed(0, false),
        Step::Reachable(0, false),
        Step::Plan(1, CommitFate::Done, 60_000),
        Step::Orders(1, arrives()),
    ];
    let renewal = [
        Step::Reachable(0, true),
        Step::Orders(0, arrives()),
        Step::Reachable(0, false),
    ];
    let taken =
        [Step::Plan(1, CommitFate::Done, 60_000), Step::Orders(1, arrives())];
    lost.into_iter()
        .chain(keep(1, renewed))
        .chain(renewal)
        .chain(keep(1, waited))
        .chain(taken)
        .collect()
}

/// A planner is cut off and can still reach a server that its successor
/// can't. Did the successor wait for its own grants alone, callers that
/// reach the server would be served beside those of the new owner.
#[test]
fn without_waiting_for_the_predecessor_its_grants_outlive_the_wait() {
    let steps = cut_off_planner_renews(6_000, 3_000);
    let guards =
        WorldGuards { waits_for_predecessor: false, ..WorldGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(WorldGuards::ALL, &steps));
}

/// The same, long after the successor has come: did the planner renew for
/// ever, no wait would be long enough.
#[test]
fn without_an_end_of_renewals_no_wait_is_long_enough() {
    let steps = cut_off_planner_renews(18_500, 2_500);
    let guards =
        WorldGuards { stops_without_proof: false, ..WorldGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(WorldGuards::ALL, &steps));
}

#[test]
fn without_tokens_at_the_servers_a_late_grant_returns() {
    let guards =
        WorldGuards { servers_check_tokens: false, ..WorldGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// A server crashes and starts again under its id before the planner
/// learns of it. A renewal meant for the former run reaches the new one,
/// which knows no token and takes it. Were the run taken for over, its
/// keys would go to another server at once: callers of two servers would
/// both be served for the rest of the hold.
#[test]
fn without_a_release_a_restarted_server_holds_what_its_former_run_held() {
    let guards = WorldGuards { releases_restarted: false, ..WorldGuards::ALL };

    assert!(finds_two_owners(guards, 20_000).is_some());
}

/// A planner is cut off and renews what its table grants; its successor
/// moves a run away from a server, which then restarts under its id and
/// has forgotten the higher token. The former planner's renewal, on a new
/// connection, would make it an owner again.
#[test]
fn without_kept_connections_a_former_planner_revives_an_owner() {
    let arrives = || vec![OrderFate::Arrives];
    let steps = [
        Step::Orders(0, arrives()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Plan(1, CommitFate::Done, 22_061),
        Step::Orders(1, arrives()),
        Step::Plan(1, CommitFate::Done, 0),
        Step::Restart(1),
        Step::Orders(0, arrives()),
        Step::Orders(1, arrives()),
    ];
    let guards =
        WorldGuards { keeps_to_connections: false, ..WorldGuards::ALL };

    assert!(two_owners_in(guards, &steps));
    assert!(!two_owners_in(WorldGuards::ALL, &steps));
}

/// A server is overrun by new connections. A renewal is given up without
/// an answer and taken seconds later, and the hold counts from then; the
/// release that follows can't be sent. Were the keys given away at the end
/// of the hold as it was reckoned, both servers would run requests.
#[test]
fn a_server_that_takes_grants_late_keeps_its_keys_until_it_is_asked() {
    let arrives = || vec![OrderFate::Arrives];
    let overrun = [
        Step::Orders(0, arrives()),
        Step::Wait(1_600),
        Step::Prove(0),
        Step::Orders(0, vec![OrderFate::TakenLate]),
        Step::Plan(0, CommitFate::Done, 1),
        Step::Reachable(0, false),
        Step::Wait(1_900),
        Step::LateOrder(0),
    ];
    let unreachable = [
        Step::Orders(0, vec![OrderFate::NotSent]),
        Step::Plan(0, CommitFate::Done, 30_000),
        Step::Orders(0, arrives()),
    ];
    let steps: Vec<Step> =
        overrun.into_iter().chain(keep(0, 3_800)).chain(unreachable).collect();

    assert!(!two_owners_in(WorldGuards::ALL, &steps));
}

/// Guards against renewals of a planner before the one that has stopped.
#[test]
fn a_planner_that_stopped_does_not_speak_for_the_one_before_it() {
    let arrives = || vec![OrderFate::Arrives];
    let lost = [
        Step::Orders(0, arrives()),
        Step::Wait(2_600),
        Step::TakeOver(1, false),
        Step::Wait(500),
        Step::TakeOver(2, true),
        Step::Listed(0, false),
        Step::Reachable(0, false),
        Step::Plan(2, CommitFate::Done, 60_000),
        Step::Orders(2, arrives()),
    ];
    let renewal = [
        Step::Reachable(0, true),
        Step::Orders(0, arrives()),
        Step::Reachable(0, false),
    ];
    let taken =
        [Step::Plan(2, CommitFate::Done, 60_000), Step::Orders(2, arrives())];
    let steps: Vec<Step> = lost
        .into_iter()
        .chain(keep(2, 6_000))
        .chain(renewal)
        .chain(keep(2, 2_500))
        .chain(taken)
        .collect();

    assert!(!two_owners_in(WorldGuards::ALL, &steps));
}

/// Two servers hold nothing in a world in which nothing works; this shows
/// that the fuzzed world serves at all.
#[test]
fn a_world_without_faults_serves_every_key() {
    let mut world = World::open(WorldGuards::ALL);
    world.take_over(0, true);
    for _ in 0..20 {
        world.wait(200);
        world.prove(0);
        world.send_orders(0, &[OrderFate::Arrives]);
    }

    let mut slices = (0..=u16::MAX).step_by(97).map(SliceIndex::from);

    assert!(slices.all(|slice| world.is_served(slice)));
}
