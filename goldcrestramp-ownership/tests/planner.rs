//! Single cases of the division of slices among failure domains.

use std::sync::Arc;

use goldcrestramp_config::{
    DeploymentState, DomainRules, EntityId, EntityKind, EntityRevision,
    ServerRules, ServiceRules,
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
    DomainName::new(name).expect("name is valid")
}

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("slice is in range")
}

fn slices(numbers: impl IntoIterator<Item = u32>) -> SliceSet {
    numbers.into_iter().map(slice).collect()
}

/// Domains `a` and `b` in region `sierra` and `c` in `costa`, with the given
/// numbers of 4-slot servers.
fn state(servers: [u16; 3]) -> DeploymentState {
    let domains = [("a", "sierra"), ("b", "sierra"), ("c", "costa")];
    let mut state = DeploymentState { version: 1, ..Default::default() };
    state.services.push(ServiceRules {
        name: ServiceName::new("stock").expect("name is valid"),
        slices: SliceCount::new(COUNT).expect("count is a power of two"),
        domains: Vec::new(),
        regions: Vec::new(),
    });
    for ((name, region), servers) in domains.into_iter().zip(servers) {
        state.domains.push(DomainRules {
            name: domain(name),
            region: RegionName::new(region).expect("name is valid"),
            lost: false,
        });
        for number in 0..servers {
            state.servers.push(server(name, number));
        }
    }
    state
}

fn server(domain_name: &str, number: u16) -> ServerRules {
    let name = format!("{domain_name}-{number}");
    ServerRules {
        name: ServerName::new(&name).expect("name is valid"),
        service: ServiceName::new("stock").expect("name is valid"),
        domain: domain(domain_name),
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
    requested: &[DomainMove],
) -> Option<ServiceRecord> {
    let round = PlannerRound::start(record.cloned());
    round.viewed(views).decide(&policy(state), requested)
}

fn first(state: &DeploymentState) -> ServiceRecord {
    decide(None, views(), state, &[]).expect("first division is made")
}

fn held(record: &ServiceRecord) -> [usize; 3] {
    ["a", "b", "c"].map(|name| record.held_by(&domain(name)).len())
}

fn move_to(number: u32, target: &str) -> DomainMove {
    DomainMove { slice: slice(number), target: domain(target) }
}

/// Applies a ticket with this number that declares the domain lost or
/// returned.
fn set_lost(
    state: &mut DeploymentState,
    position: usize,
    lost: bool,
    ticket: u64,
) {
    let rules = &mut state.domains[position];
    rules.lost = lost;
    let thing = EntityId::new(EntityKind::Domain, rules.name.as_str());
    state.tickets.last.insert(thing, EntityRevision(ticket, 0));
    state.version += 1;
}

/// The number of slices in the plan of `a`; `None` without a plan.
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
            regions.collect::<Result<_, _>>().expect("names are valid");

        let record = first(&state);

        assert_eq!(held(&record), expected);
        assert_eq!(record.revision, 1);
    }
}

#[test]
fn a_valid_division_does_not_change() {
    let state = state([1, 1, 1]);
    let record = first(&state);
    assert_eq!(decide(Some(&record), views(), &state, &[]), None);
}

/// Only the holder may grant a slice before the release is on the holder's
/// record. A move that completed earlier would give the slice two owners.
#[test]
fn a_move_waits_for_the_release() {
    let state = state([2, 1, 1]);
    let record = first(&state);

    let started = decide(Some(&record), views(), &state, &[move_to(0, "b")]);
    let started = started.expect("move starts");
    let waiting = decide(Some(&started), views(), &state, &[move_to(0, "c")]);
    let mut after = views();
    after.insert(domain("a"), view(slices([0])));
    let completed = decide(Some(&started), after, &state, &[]);
    let completed = completed.expect("move is complete");

    assert!(started.held_by(&domain("a")).contains(slice(0)));
    assert_eq!(started.leaving(&domain("a")), slices([0]));
    assert_eq!(waiting, None);
    assert!(completed.held_by(&domain("b")).contains(slice(0)));
    assert_eq!(completed.leaving(&domain("a")), SliceSet::new());
    assert_eq!(completed.revision, record.revision + 2);
}

/// A domain is cut off from the store and keeps serving. It cannot be
/// distinguished from a dead domain, so it keeps its slices for any length of
/// time. Otherwise they would have two owners.
#[test]
fn a_domain_that_cannot_be_read_keeps_its_slices() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut unread = views();
    unread.remove(&domain("a"));

    let change = decide(Some(&record), unread, &state, &[move_to(0, "b")]);

    assert_eq!(change, None);
}

/// An operator declares a domain lost, and its slices move to the others in
/// proportion to capacity. When the domain returns, its own record still lists
/// them with its servers. Its steward must not grant them: its plan is empty.
#[test]
fn a_lost_domain_loses_its_slices_and_gets_an_empty_plan() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);

    let taken = decide(Some(&record), views(), &state, &[]);
    let taken = taken.expect("slices are reassigned");
    let lost_plan = plan(&state, &record);
    set_lost(&mut state, 0, false, 3);
    let recorded = decide(Some(&taken), views(), &state, &[]);
    let recorded = recorded.expect("ticket is recorded");

    assert_eq!(held(&taken), [0, 32, 32]);
    assert_eq!(lost_plan, Some(0), "the ticket alone empties the plan");
    assert_eq!(plan(&state, &taken), None, "not before it is recorded");
    assert_eq!(plan(&state, &recorded), Some(0));
    assert_eq!(decide(Some(&recorded), views(), &state, &[]), None);
}

/// A domain is declared lost by mistake. Its server keeps serving until the
/// domain learns of that. So the domain keeps the slices, is asked to release
/// them, and they move after the release. When they were taken at once, each
/// had two owners for a moment.
#[test]
fn a_lost_domain_that_may_still_serve_releases_its_slices_first() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);
    let stopping: FastSet<_> = [domain("a")].into_iter().collect();
    let policy = policy(&state).with_stopping(stopping);
    let decide = |record: &ServiceRecord, views| {
        let round = PlannerRound::start(Some(record.clone()));
        round.viewed(views).decide(&policy, &[])
    };

    let requested = decide(&record, views()).expect("moves start");
    let released = requested.leaving(&domain("a"));
    let mut views = views();
    views.insert(domain("a"), view(released.clone()));
    let moved = decide(&requested, views).expect("moves are complete");

    assert_eq!(held(&requested), held(&record));
    assert!(!released.is_empty());
    assert_eq!(moved.held_by(&domain("a")).len() + released.len(), 32);
}

/// A domain is declared lost and soon returns. A planner that was paused knows
/// only of the loss and resumes after the domain serves again. It must not
/// take the slices: its write fails because the record has changed, and it
/// decides nothing after it reads the record again.
#[test]
fn a_paused_planner_does_not_take_from_a_returned_domain() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    set_lost(&mut state, 0, true, 2);
    let outdated = state.clone();
    set_lost(&mut state, 0, false, 3);

    let waits = plan(&state, &record);
    let recorded = decide(Some(&record), views(), &state, &[]);
    let recorded = recorded.expect("ticket is recorded");
    let late = decide(Some(&recorded), views(), &outdated, &[]);

    assert_eq!(waits, None, "a fresh steward waits for the planner");
    assert_eq!(plan(&state, &recorded), Some(32));
    assert_eq!(late, None);
}

/// The target of a move is declared lost before the holder has released the
/// slice. The move is redirected to another domain. It is not cancelled,
/// because the release may be in flight.
#[test]
fn a_move_to_a_lost_domain_is_redirected() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    let started = decide(Some(&record), views(), &state, &[move_to(0, "b")]);
    set_lost(&mut state, 1, true, 2);

    let redirected = decide(started.as_ref(), views(), &state, &[]);

    let redirected = redirected.expect("record changes");
    assert_eq!(redirected.target_of(slice(0)), Some(&domain("c")));
    assert_eq!(redirected.domain_of(slice(0)), Some(&domain("a")));
}

/// A ticket removes a domain from the service's rules. The domain still
/// serves, so its slices leave by release, a bounded number at a time.
#[test]
fn slices_leave_a_domain_that_the_rules_exclude() {
    let mut state = state([2, 1, 1]);
    let record = first(&state);
    state.services[0].domains = ["b", "c"].map(domain).into();

    let change = decide(Some(&record), views(), &state, &[]);

    let change = change.expect("moves start");
    assert_eq!(change.leaving(&domain("a")).len(), 32);
    assert_eq!(held(&change), held(&record));
}

/// A slice moved from `a` to `b` and returned. The record of `a` still shows
/// the first release. It must not complete a second move, because the servers
/// of `a` hold the slice again.
#[test]
fn an_old_release_does_not_complete_a_new_move() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut with_old_release = views();
    with_old_release.insert(domain("a"), view(slices([0])));

    let out = decide(
        Some(&record),
        with_old_release.clone(),
        &state,
        &[move_to(0, "b")],
    );
    let back =
        decide(Some(&record), with_old_release, &state, &[move_to(40, "a")]);

    assert_eq!(out, None);
    let back = back.expect("another slice may move to the domain");
    assert_eq!(back.target_of(slice(40)), Some(&domain("a")));
}

/// A slice moved from `a` to `b`, and the steward of `a` has not yet removed
/// the release from its record. If the slice returned now, the steward could
/// not tell the old release from a new one, and nobody would ever serve the
/// slice.
#[test]
fn a_slice_does_not_return_before_its_release_is_removed() {
    let state = state([2, 1, 1]);
    let record = first(&state);
    let mut with_old_release = views();
    with_old_release.insert(domain("a"), view(slices([40])));

    let early =
        decide(Some(&record), with_old_release, &state, &[move_to(40, "a")]);
    let later = decide(Some(&record), views(), &state, &[move_to(40, "a")]);

    assert_eq!(early, None);
    assert!(later.is_some());
}

/// The store was restored without the service's record, but with the records
/// of the domains. A new division would reassign slices that servers hold.
#[test]
fn a_lost_record_is_rebuilt_from_the_domains() {
    let state = state([2, 1, 1]);
    let mut held_views = views();
    let held = DomainView { held: slices([63]), ..DomainView::default() };
    held_views.insert(domain("a"), held.clone());
    let mut doubled = held_views.clone();
    doubled.insert(domain("b"), held);
    let mut unread = held_views.clone();
    unread.remove(&domain("c"));

    let rebuilt = decide(None, held_views, &state, &[]);

    let rebuilt = rebuilt.expect("record is rebuilt");
    assert_eq!(rebuilt.domain_of(slice(63)), Some(&domain("a")));
    assert_eq!(decide(None, unread, &state, &[]), None);
    assert_eq!(decide(None, doubled, &state, &[]), None);
}

/// A VM that was cut off from the store becomes steward with the plan from
/// before a move and grants the slice that has left, which then has two
/// owners. Voters refuse the VM only if the version of its plan is lower, also
/// without a ticket in between.
#[test]
fn a_plan_from_before_a_move_has_a_lower_version() {
    let state = state([2, 1, 1]);
    let version = |state: &DeploymentState, record: &ServiceRecord| {
        let records = [Arc::new(record.clone())];
        let plan = domain_plan(state, &domain("a"), &records);
        plan.expect("domain has a plan").version
    };
    let record = first(&state);

    let started = decide(Some(&record), views(), &state, &[move_to(0, "b")]);
    let started = started.expect("move starts");
    let mut without = state.clone();
    without.version += 1;
    without.services.clear();

    assert!(version(&state, &record) < version(&state, &started));
    assert!(version(&state, &started) < version(&without, &started));
}

/// Views in which one domain has no server for the service.
fn stranded(
    name: &str,
    cause: StrandedCause,
) -> FastMap<DomainName, DomainView> {
    let mut views = views();
    let view = views.get_mut(&domain(name)).expect("domain has a view");
    view.stranded = Some(cause);
    views
}

/// The last server of a service in its domain is lost. Its keys are not served
/// until its slices have moved, so all of them leave at once. When the domain
/// has a server again, they do not return: that move would be unnecessary.
#[test]
fn slices_leave_a_domain_without_servers_and_do_not_return() {
    let state = state([1, 1, 2]);
    let record = first(&state);
    let away = stranded("a", StrandedCause::Lost);

    let started = decide(Some(&record), away.clone(), &state, &[]);
    let started = started.expect("moves start");
    let mut after = away;
    let leaving = started.leaving(&domain("a"));
    after.insert(domain("a"), view(leaving.clone()));
    let completed = decide(Some(&started), after, &state, &[]);
    let completed = completed.expect("moves are complete");

    assert_eq!(leaving.len(), 16);
    assert_eq!(held(&completed), [0, 21, 43]);
    assert_eq!(decide(Some(&completed), views(), &state, &[]), None);
}

/// Every domain has lost its servers of a service. Moving the slices would not
/// help. They stay, and are served as soon as a server is back.
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
    let go = decide(Some(&record), one, &state, &[]).expect("moves start");

    assert_eq!(stay, None);
    assert_eq!(go.leaving(&domain("a")).len(), 22);
    assert_eq!(go.target_of(slice(0)), Some(&domain("c")));
}

/// The target of a move loses its last server before the slices are released.
/// If they moved there, their keys would wait for another move. So the move is
/// redirected to a domain that can serve them.
#[test]
fn a_move_to_a_domain_that_lost_its_servers_is_redirected() {
    let state = state([1, 1, 1]);
    let record = first(&state);
    let started = decide(Some(&record), views(), &state, &[move_to(0, "b")]);
    let away = stranded("b", StrandedCause::Lost);

    let redirected = decide(started.as_ref(), away, &state, &[]);

    let redirected = redirected.expect("record changes");
    assert_eq!(redirected.target_of(slice(0)), Some(&domain("c")));
}

/// The last servers of a large service leave their domain. Each slice is not
/// served for a moment during its move, so at most a sixteenth moves at once.
#[test]
fn a_leaving_domain_releases_a_bounded_number_of_slices_at_a_time() {
    let mut state = state([1, 1, 0]);
    state.services[0].slices =
        SliceCount::new(8_192).expect("count is a power of two");
    let record = first(&state);
    let leaving = stranded("a", StrandedCause::Leaving);
    let lost = stranded("a", StrandedCause::Lost);
    let started = |views| {
        let change = decide(Some(&record), views, &state, &[]);
        change.expect("moves start").leaving(&domain("a")).len()
    };

    assert_eq!(started(leaving), 512);
    assert_eq!(started(lost), 4_096);
}
