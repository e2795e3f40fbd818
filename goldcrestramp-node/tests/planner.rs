//! Slices between failure domains, with real daemons.

mod two_domains;

use goldcrestramp_config::{EntityId, EntityKind, EntityRevision};
use goldcrestramp_types::DomainName;
use serde_json::json;
use two_domains::{DOMAINS, TwoDomains};

fn domain(number: usize) -> DomainName {
    DomainName::new(DOMAINS[number]).expect("a name")
}

/// A domain with its servers and daemons is gone. Its keys have no owner
/// until an operator declares it lost: it could be cut off and serving.
/// Then the other domain serves them. When the lost one starts again it
/// finds that it holds nothing, and its server runs nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_domains_keys_move_only_by_ticket() {
    let mut two = TwoDomains::spawn(0).await;
    let before = two.division().await.expect("a division");
    let address = two.stop_domain(1);

    two.put_lost(2, 1, true).await;
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    two.start_server(1, address).await;
    two.put_lost(3, 1, false).await;
    two.start_node(1).await;
    two.wait_until_served(1).await;

    assert!(!before.held_by(&domain(1)).is_empty());
    let after = two.division().await.expect("a division");
    assert!(after.held_by(&domain(1)).is_empty());
    let returned = two.servers[1].as_ref().expect("a running server");
    assert!(returned.log().executions.is_empty());
}

/// The platform is restored from a copy taken before a domain was declared
/// lost. The configuration and the division that were in force are written
/// again by who knows them, and the keys stay where they are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restored_store_gets_the_newer_division_again() {
    let mut two = TwoDomains::spawn(1).await;
    two.platform.snapshot();
    two.stop_domain(1);
    two.put_lost(2, 1, true).await;
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    let newer = two.division().await.expect("a division").revision;

    two.platform.restore();

    let older = two.division().await.map_or(0, |r| r.revision);
    two.wait_for_division(|r| r.revision >= newer).await;
    two.wait_until_served(0).await;
    assert!(older < newer);
    let after = two.division().await.expect("a division");
    assert!(after.held_by(&domain(1)).is_empty());
}

/// A ticket takes a domain out of a service's rules while its daemon is
/// paused. Nothing is taken from it, however often the planner looks. Once
/// it goes on, its slices leave by release, each held by one server at any
/// time, and are on the other domain's record at the end. Its daemon goes
/// on as a gateway.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slices_move_between_domains_by_release() {
    let two = TwoDomains::spawn(2).await;

    two.pause_node(1, true);
    let thing = EntityId::new(EntityKind::Service, "stock");
    two.put_config(2, |state| {
        state["services"][0]["domains"] = json!([DOMAINS[0]]);
        // A state without its ticket's mark counts as older data, and the
        // steward writes the one before it again.
        state["tickets"]["last"][thing.to_string()] =
            json!(EntityRevision(2, 0));
    })
    .await;
    two.wait_for_division(|r| r.leaving(&domain(1)).len() == 32).await;
    two.wait_for_reads(60).await;
    let paused = two.division().await.expect("a division");
    two.pause_node(1, false);
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    two.wait_until_served(1).await;

    assert_eq!(paused.held_by(&domain(1)).len(), 32);
    two.wait_for_held(&domain(0), 64).await;
    two.wait_for_held(&domain(1), 0).await;
    assert!(two.moved_without_overlap(), "two servers held a slice");
}

/// The only server of a service in its failure domain is gone for good.
/// Its steward says so, the planner gives its slices to the other domain,
/// and callers of its keys are served there. When a server is back they
/// stay where they are: nothing needs them to move again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_keys_of_a_domains_only_server_are_served_elsewhere() {
    let mut two = TwoDomains::spawn(3).await;
    let lost = two.servers[1].take().expect("a running server");
    let address = lost.address();

    lost.lose();
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    let moved = two.division().await.expect("a division").revision;
    two.start_server(1, address).await;
    two.wait_for_usable(&domain(1)).await;
    two.wait_for_reads(6).await;

    let after = two.division().await.expect("a division");
    assert_eq!(after.revision, moved, "slices came back without need");
}

/// The only server of a service in its failure domain is drained. It gives
/// its slices to the other domain by release, while callers lose nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_only_server_of_a_domain_can_be_drained() {
    let two = TwoDomains::spawn(4).await;

    let asked = two.ask_during(async || {
        two.put_drain(2, 1, true).await;
        two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
        two.wait_for_held(&domain(0), 64).await;
    });
    let failed = asked.await;
    two.wait_until_served(0).await;

    assert_eq!(failed, 0, "requests were refused");
    assert!(two.moved_without_overlap(), "two servers held a slice");
}
