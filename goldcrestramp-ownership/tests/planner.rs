//! Division of slices among failure domains, one case at a time.

use std::sync::Arc;

use goldcrestramp_config::{
    DeploymentState, DomainRules, ServerRules, ServiceRules, ThingId,
    ThingKind, TouchMark,
};
use goldcrestramp_ownership::{
    DomainMove, DomainView, PlannerRound, ServicePolicy, ServiceRecord,
    StrandedCause, domain_plan,
};
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, RegionName, ServerName, ServiceName,
    SliceCount, SliceIndex, SliceSet,
};

const COUNT: u32 = 64;

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a valid name")
}

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("in range")
}

fn slices(numbers: impl IntoIterator<Item = u32>) -> SliceSet {
    numbers.into_iter().map(slice).collect()
}

/// Domains `a` and `b` in region `sierra`, `c` in `costa`; the given
/// number of 4-slot servers each.
fn state(servers: [u16; 3]) -> DeploymentState {
    let places = [("a", "sierra"), ("b", "sierra"), ("c", "costa")];
    let mut state = DeploymentState { version: 1, ..Default::default() };
    state.services.push(ServiceRules {
        name: ServiceName::new("stock").expect("a valid name"),
        slices: SliceCount::new(COUNT).expect("a power of two"),
        domains: Vec::new(),
        regions: Vec::new(),
    });
    for ((name, region), servers) in places.into_iter().zip(servers) {
        state.domains.push(DomainRules {
            name: domain(name),
            region: RegionName::new(region).expect("a valid name"),
            lost: false,
        });
        for number in 0..servers {
            state.servers.push(server(name, number));
        }
    }
    state
}

fn server(place: &str, number: u16) -> ServerRules {
    let name = format!("{place}-{number}");
    ServerRules {
        name: ServerName::new(&name).expect("a valid name"),
        service: ServiceName::new("stock").expect("a valid name"),
        domain: domain(place),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        slots: 4,
        connections: 120,
        checks_fence: true,
        drain: false,
    }
}

fn policy(state: &DeploymentState) -> ServicePolicy {
    ServicePolicy::of(state, &state.services[0])
}

/// Empty views of all three domains.
fn views() -> FastMap<DomainName, DomainView> {
    let names = ["a", "b", "c"].map(domain);
    names.into_iter().map(|name| (name, DomainView::default())).collect()
}

fn view(released: SliceSet) -> DomainView {
    DomainView { released, ..DomainView::default() }
}

fn decide(
    record: Option<&ServiceRecord>,
    views: FastMap<DomainName, DomainView>,
    state: &DeploymentState,
    asked: &[DomainMove],
) -> Option<ServiceRecord> {
    let round = PlannerRound::start(record.cloned());
    round.viewed(views).decide(&policy(state), asked)
}

fn first(state: &DeploymentState) -> ServiceRecord {
    decide(None, views(), state, &[]).expect("a first division")
}

fn held(record: &ServiceRecord) -> [usize; 3] {
    ["a", "b", "c"].map(|name| record.held_by(&domain(name)).len())
}

fn to(number: u32, target: &str) -> DomainMove {
    DomainMove { slice: slice(number), target: domain(target) }
}

/// A ticket of this number declares the domain lost or returned.
fn set_lost(
    state: &mut DeploymentState,
    position: usize,
    lost: bool,
    ticket: u64,
) {
    let rules = &mut state.domains[position];
    rules.lost = lost;
    let thing = ThingId::new(ThingKind::Domain, rules.name.as_str());
    state.tickets.last.insert(thing, TouchMark(ticket, 0));
    state.version += 1;
}

/// How many slices the plan of `a` has, if there is one.
fn plan(state: &DeploymentState, record: &ServiceRecord) -> Option<usize> {
    let records = [Arc::new(record.clone())];
    let plan = domain_plan(state, &domain("a"), &records)?;
    assert_eq!(plan.servers.len(), 2);
    Some(plan.services[0].slices.len())
}

#[test]
fn the_first_division_follows_capacity_and_rules() {
    let cases: [([u16; 3], &[&str], [usize; 3]); 4] = [
        ([1, 1, 2], &[], [16, 16, 32]),
        ([3, 1, 0], &[], [48, 16, 0]),
        ([1, 1, 2], &["sierra"], [32, 32, 0]),
        ([5, 5, 1], &["costa"], [0, 0, 64]),
    ];
    for (servers, regions, expected) in cases {
        let mut state = state(servers);
        let regions = regions.iter().map(|name| RegionName::new(name));
        state.services[0].regions =
            regions.collect::<Result<_, _>>().expect("valid names");

        let record = first(&state);

        assert_eq!(held(&record), expected);
        assert_eq!(record.revision, 1);
    }
}

#[test]
fn a_division_that_needs_no_change_stays() {
    let state = state([1, 1, 1]);
    let record = first(&state);
    assert_eq!(decide(Some(&record), views(), &state, &[]), None);
}

/// A slice moves in three steps; nobody but its holder may grant it before
/// the release is on the holder's record.
#[test]
fn a_move_waits_for_the_release() {
    let state = state([2, 1, 1]);
    let record = first(&state);

    let begun = decide(Some(&record), views(), &state, &[to(0, "b")]);
    let begun = begun.expect("a move begun");
    let waiting = decide(Some(&begun), views(), &state, &[to(0, "c")]);
    let mut after = views();
    after.insert(domain("a"), view(slices([0])));
    let ended = decide(Some(&begun), after, &state, &[]);
    let ended = ended.expect("a move ended");

    assert!(begun.held_by(&domain("a")).contains(slice(0)));
    assert_eq!(begun.leaving(&domain("a")), slices([0]));
    assert_eq!(waiting, None);
    assert!(ended.held_by(&domain("b")).contains(slice(0)));
    assert_eq!(ended.leaving(&domain("a")), SliceSet::new());
    assert_eq!(ended.revision, record.revision + 2);
}

/// A domain is cut off from the store and serves on. Its slices stay its
/// own, however long that lasts: nobody can tell it from a domain that is
/// dead.
#[test]
fn a_domain_that_cannot_be_read_keeps_its_slices() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut unread = views();
    unread.remove(&domain("a"));

    let change = decide(Some(&record), unread, &state, &[to(0, "b")]);

    assert_eq!(change, None);
}

/// An operator declares a domain lost. Its slices go to the others in
/// proportion to capacity. When the domain returns, its own record still
/// lists them with its servers, but its steward's plan is empty.
#[test]
fn a_lost_domain_loses_its_slices_and_gets_an_empty_plan() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);

    let taken = decide(Some(&record), views(), &state, &[]);
    let taken = taken.expect("slices taken");
    let lost_plan = plan(&state, &record);
    set_lost(&mut state, 0, false, 3);
    let noted = decide(Some(&taken), views(), &state, &[]);
    let noted = noted.expect("the ticket noted");

    assert_eq!(held(&taken), [0, 32, 32]);
    assert_eq!(lost_plan, Some(0), "the ticket alone empties the plan");
    assert_eq!(plan(&state, &taken), None, "not before it is noted");
    assert_eq!(plan(&state, &noted), Some(0));
    assert_eq!(decide(Some(&noted), views(), &state, &[]), None);
}

/// A domain is declared lost by mistake. Until it has heard of that its
/// server serves on: the slices stay its own, are asked for, and move when
/// it has released them. Taken at once, each had two owners for a moment.
#[test]
fn a_lost_domain_that_may_still_serve_gives_its_slices_up_first() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);
    let stopping: FastSet<_> = [domain("a")].into_iter().collect();
    let policy = policy(&state).with_stopping(stopping);
    let decide = |record: &ServiceRecord, views| {
        let round = PlannerRound::start(Some(record.clone()));
        round.viewed(views).decide(&policy, &[])
    };

    let asked = decide(&record, views()).expect("slices asked for");
    let released = asked.leaving(&domain("a"));
    let mut views = views();
    views.insert(domain("a"), view(released.clone()));
    let moved = decide(&asked, views).expect("slices moved");

    assert_eq!(held(&asked), held(&record));
    assert!(!released.is_empty());
    assert_eq!(moved.held_by(&domain("a")).len() + released.len(), 32);
}

/// A domain is declared lost and soon returns. A planner that was paused
/// knows only of the loss and wakes after the domain has begun to serve
/// again: it must not take the slices. Its write fails because the record
/// has changed, and reading again does not help it.
#[test]
fn a_paused_planner_does_not_take_from_a_returned_domain() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);
    let outdated = state.clone();
    set_lost(&mut state, 0, false, 3);

    let waits = plan(&state, &record);
    let noted = decide(Some(&record), views(), &state, &[]);
    let noted = noted.expect("the ticket noted");
    let late = decide(Some(&noted), views(), &outdated, &[]);

    assert_eq!(waits, None, "a fresh steward waits for the planner");
    assert_eq!(plan(&state, &noted), Some(32));
    assert_eq!(late, None);
}

/// The target of a move is declared lost before the holder has released.
/// The move turns to another domain; it is not called off, because the
/// release may be under way.
#[test]
fn a_move_to_a_lost_domain_turns() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    let begun = decide(Some(&record), views(), &state, &[to(0, "b")]);
    set_lost(&mut state, 1, true, 2);

    let turned = decide(begun.as_ref(), views(), &state, &[]);

    let turned = turned.expect("a change");
    assert_eq!(turned.target_of(slice(0)), Some(&domain("c")));
    assert_eq!(turned.domain_of(slice(0)), Some(&domain("a")));
}

/// A ticket takes a domain out of the service's rules. It still serves, so
/// its slices leave by release, a bounded number at a time.
#[test]
fn slices_leave_a_domain_that_the_rules_exclude() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    state.services[0].domains = ["b", "c"].map(domain).into();

    let change = decide(Some(&record), views(), &state, &[]);

    let change = change.expect("moves begun");
    assert_eq!(change.leaving(&domain("a")).len(), 32);
    assert_eq!(held(&change), held(&record));
}

/// A slice went from `a` to `b` and came back. `a`'s record still shows
/// the first release. A second move must not take it for its own: `a`'s
/// servers hold the slice again.
#[test]
fn an_old_release_does_not_end_a_new_move() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut aged = views();
    aged.insert(domain("a"), view(slices([0])));

    let out = decide(Some(&record), aged.clone(), &state, &[to(0, "b")]);
    let back = decide(Some(&record), aged, &state, &[to(40, "a")]);

    assert_eq!(out, None);
    let back = back.expect("another slice may move to the domain");
    assert_eq!(back.target_of(slice(40)), Some(&domain("a")));
}

/// A slice went from `a` to `b`, and `a`'s steward has not yet taken its
/// release off its record. Given the slice back now, it could not tell the
/// old release from a new one, and nobody would ever serve the slice.
#[test]
fn a_slice_does_not_return_before_its_release_is_forgotten() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut aged = views();
    aged.insert(domain("a"), view(slices([40])));

    let early = decide(Some(&record), aged, &state, &[to(40, "a")]);
    let later = decide(Some(&record), views(), &state, &[to(40, "a")]);

    assert_eq!(early, None);
    assert!(later.is_some());
}

/// The store came back without the service's record, but with the
/// domains'. A new division would give away what servers hold.
#[test]
fn a_vanished_record_is_rebuilt_from_the_domains() {
    let state = state([2, 1, 1]);
    let mut held_views = views();
    let held = DomainView { held: slices([63]), ..DomainView::default() };
    held_views.insert(domain("a"), held.clone());
    let mut doubled = held_views.clone();
    doubled.insert(domain("b"), held);
    let mut unread = held_views.clone();
    unread.remove(&domain("c"));

    let rebuilt = decide(None, held_views, &state, &[]);

    let rebuilt = rebuilt.expect("a record");
    assert_eq!(rebuilt.domain_of(slice(63)), Some(&domain("a")));
    assert_eq!(decide(None, unread, &state, &[]), None);
    assert_eq!(decide(None, doubled, &state, &[]), None);
}

/// A VM that was cut off from the store leads with the plan from before a
/// move, and grants the slice that has left: two owners. Voters refuse it
/// only if that plan's version is lower, also when no ticket came between.
#[test]
fn a_plan_from_before_a_move_has_a_lower_version() {
    let state = state([2, 1, 1]);
    let version = |state: &DeploymentState, record: &ServiceRecord| {
        let records = [Arc::new(record.clone())];
        let plan = domain_plan(state, &domain("a"), &records);
        plan.expect("a plan").version
    };
    let record = first(&state);

    let begun = decide(Some(&record), views(), &state, &[to(0, "b")]);
    let begun = begun.expect("a move begun");
    let mut without = state.clone();
    without.version += 1;
    without.services.clear();

    assert!(version(&state, &record) < version(&state, &begun));
    assert!(version(&state, &begun) < version(&without, &begun));
}

/// Views in which a domain has no server for the service.
fn stranded(
    name: &str,
    cause: StrandedCause,
) -> FastMap<DomainName, DomainView> {
    let mut views = views();
    let view = views.get_mut(&domain(name)).expect("a view");
    view.stranded = Some(cause);
    views
}

/// The last server of a service in its domain is lost. Its keys are unserved
/// until its slices are elsewhere, so all of them leave at once; back with a
/// server, the domain gets none of them: nothing needs that.
#[test]
fn slices_leave_a_domain_without_servers_and_do_not_return() {
    let state = state([1, 1, 2]);
    let record = first(&state);
    let away = stranded("a", StrandedCause::Lost);

    let begun = decide(Some(&record), away.clone(), &state, &[]);
    let begun = begun.expect("moves begun");
    let mut after = away;
    let leaving = begun.leaving(&domain("a"));
    after.insert(domain("a"), view(leaving.clone()));
    let ended = decide(Some(&begun), after, &state, &[]);
    let ended = ended.expect("moves ended");

    assert_eq!(leaving.len(), 16);
    assert_eq!(held(&ended), [0, 21, 43]);
    assert_eq!(decide(Some(&ended), views(), &state, &[]), None);
}

/// Every domain has lost its servers of a service. Moving its slices would
/// help nobody: they stay, and are served as soon as any server is back.
#[test]
fn slices_stay_when_no_domain_has_a_server() {
    let state = state([1, 1, 1]);
    let record = first(&state);
    let mut none = views();
    for view in none.values_mut() {
        view.stranded = Some(StrandedCause::Lost);
    }
    let mut one = none.clone();
    one.insert(domain("c"), DomainView::default());

    let stay = decide(Some(&record), none, &state, &[]);
    let go = decide(Some(&record), one, &state, &[]).expect("moves begun");

    assert_eq!(stay, None);
    assert_eq!(go.leaving(&domain("a")).len(), 22);
    assert_eq!(go.target_of(slice(0)), Some(&domain("c")));
}

/// The domain that is to get slices loses its last server before they are
/// released. Given to it, their keys would wait for another move: they turn
/// to a domain that can serve them.
#[test]
fn a_move_to_a_domain_that_lost_its_servers_turns() {
    let state = state([1, 1, 1]);
    let record = first(&state);
    let begun = decide(Some(&record), views(), &state, &[to(0, "b")]);
    let away = stranded("b", StrandedCause::Lost);

    let turned = decide(begun.as_ref(), away, &state, &[]);

    let turned = turned.expect("a change");
    assert_eq!(turned.target_of(slice(0)), Some(&domain("c")));
}

/// The last servers of a large service leave their domain. Each slice waits
/// for a moment on its way, so no more than a sixteenth moves at once.
#[test]
fn a_leaving_domain_gives_up_a_part_at_a_time() {
    let mut state = state([1, 1, 0]);
    state.services[0].slices = SliceCount::new(8_192).expect("a power of two");
    let record = first(&state);
    let leaving = stranded("a", StrandedCause::Leaving);
    let lost = stranded("a", StrandedCause::Lost);
    let begun = |views| {
        let change = decide(Some(&record), views, &state, &[]);
        change.expect("moves begun").leaving(&domain("a")).len()
    };

    assert_eq!(begun(leaving), 512);
    assert_eq!(begun(lost), 4_096);
}
