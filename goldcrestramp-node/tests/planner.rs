//! Moves of slices between failure domains, with real daemons.

mod two_domains;

use goldcrestramp_config::{EntityId, EntityKind, EntityRevision};
use goldcrestramp_types::DomainName;
use serde_json::json;
use two_domains::{DOMAINS, TwoDomains};

fn domain(number: usize) -> DomainName {
    DomainName::new(DOMAINS[number]).expect("name is valid")
}

/// A domain with its servers and daemons stops. Its keys have no owner until
/// an operator declares it lost, as it could be partitioned and still
/// serving. Then the other domain serves them. When the lost domain starts
/// again it holds no slice, and its server runs nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_domains_keys_move_only_by_ticket() {
    let mut two = TwoDomains::spawn(0).await;
    let before = two.division().await.expect("division is stored");
    let address = two.stop_domain(1);

    two.put_lost(2, 1, true).await;
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    two.start_server(1, address).await;
    two.put_lost(3, 1, false).await;
    two.start_node(1).await;
    two.wait_until_served(1).await;

    assert!(!before.held_by(&domain(1)).is_empty());
    let after = two.division().await.expect("division is stored");
    assert!(after.held_by(&domain(1)).is_empty());
    let returned = two.servers[1].as_ref().expect("server runs");
    assert!(returned.log().executions.is_empty());
}

/// The platform is restored from a snapshot taken before a domain was
/// declared lost. The daemons that know the newer configuration and division
/// of slices write them again, and the keys stay where they are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restored_store_gets_the_newer_division_again() {
    let mut two = TwoDomains::spawn(1).await;
    two.platform.snapshot();
    two.stop_domain(1);
    two.put_lost(2, 1, true).await;
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    let newer = two.division().await.expect("division is stored").revision;

    let older = two.restore().map_or(0, |r| r.revision);

    two.wait_for_division(|r| r.revision >= newer).await;
    two.wait_until_served(0).await;
    assert!(older < newer);
    let after = two.division().await.expect("division is stored");
    assert!(after.held_by(&domain(1)).is_empty());
}

/// A ticket removes a domain from a service's rules while its daemon is
/// paused. It keeps its slices, however often the planner checks. Once it
/// resumes, its slices move by release, each held by one server at any time,
/// and end on the other domain's record. Its daemon still works as a
/// gateway.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slices_move_between_domains_by_release() {
    let two = TwoDomains::spawn(2).await;

    two.pause_node(1, true);
    let entity = EntityId::new(EntityKind::Service, "stock");
    two.put_config(2, |state| {
        state["services"][0]["domains"] = json!([DOMAINS[0]]);
        // A state without its ticket's revision counts as older data, and
        // the steward writes the previous state again.
        state["tickets"]["last"][entity.to_string()] =
            json!(EntityRevision(2, 0));
    })
    .await;
    two.wait_for_division(|r| r.leaving(&domain(1)).len() == 32).await;
    two.wait_for_reads(60).await;
    let paused = two.division().await.expect("division is stored");
    two.pause_node(1, false);
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    two.wait_until_served(1).await;

    assert_eq!(paused.held_by(&domain(1)).len(), 32);
    two.wait_for_held(&domain(0), 64).await;
    two.wait_for_held(&domain(1), 0).await;
    assert!(two.moved_without_overlap(), "two servers held a slice");
}

/// The only server of a service in its failure domain is lost for good. Its
/// steward reports this, the planner assigns its slices to the other domain,
/// and their keys are served there. When the server returns the slices stay
/// in place, as nothing requires another move.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_keys_of_a_domains_only_server_are_served_elsewhere() {
    let mut two = TwoDomains::spawn(3).await;
    let lost = two.servers[1].take().expect("server runs");
    let address = lost.address();

    lost.lose();
    two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
    two.wait_until_served(0).await;
    let moved = two.division().await.expect("division is stored").revision;
    two.start_server(1, address).await;
    two.wait_for_usable(&domain(1)).await;
    two.wait_for_reads(6).await;

    let after = two.division().await.expect("division is stored");
    assert_eq!(after.revision, moved, "slices moved back needlessly");
}

/// The only server of a service in its failure domain is drained. Its slices
/// move to the other domain by release, and no lookup fails meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_only_server_of_a_domain_can_be_drained() {
    let two = TwoDomains::spawn(4).await;

    let lookups = two.lookups_failed_during(async || {
        two.put_drain(2, 1, true).await;
        two.wait_for_division(|r| r.held_by(&domain(1)).is_empty()).await;
        two.wait_for_held(&domain(0), 64).await;
    });
    let failed = lookups.await;
    two.wait_until_served(0).await;

    assert_eq!(failed, 0, "lookups failed");
    assert!(two.moved_without_overlap(), "two servers held a slice");
}
