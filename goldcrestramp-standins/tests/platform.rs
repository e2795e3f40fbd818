//! Tests of the platform's client against a platform with faults.

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use goldcrestramp_platform::{
    CallKind, PlatformClient, PutCondition, PutOutcome, StoreAccess,
    StoreError, VmEntry, VmState, WriteOutcome, resolve_write,
};
use goldcrestramp_standins::platform::{
    CallTally, LossKind, OutageKind, PlatformFaults, PlatformStandin,
};
use goldcrestramp_types::{DomainName, RegionName, TimeSpan, VmName};

async fn platform() -> (PlatformStandin, PlatformClient) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let standin = PlatformStandin::bind(any).await.expect("port is free");
    let base = format!("http://{}", standin.address());
    let client = PlatformClient::open(&base).expect("URL is valid");
    (standin, client)
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: VmName::new(name).expect("name is valid"),
        domain: DomainName::new("sierra-a").expect("name is valid"),
        region: RegionName::new("sierra").expect("name is valid"),
        address: "127.0.0.1:7001".to_owned(),
        state: VmState::Live,
    }
}

async fn put(
    client: &PlatformClient,
    condition: PutCondition,
    value: &'static str,
) -> Result<PutOutcome, StoreError> {
    let value = Bytes::from_static(value.as_bytes());
    client.put("key", condition, value, None).await
}

/// Reads until the platform responds.
async fn read_until_success(client: &PlatformClient) -> Option<Bytes> {
    loop {
        if let Ok(found) = client.get("key").await {
            return found.map(|stored| stored.value);
        }
    }
}

fn outage(kind: OutageKind) -> PlatformFaults {
    PlatformFaults { outage: kind, ..PlatformFaults::default() }
}

/// Guards against applying an operator's ticket twice. The ticket is accepted,
/// but the response is lost: the connection is closed, or an intermediary
/// responds with 502. If the write counted as failed, it would be retried
/// under another number. Reading it back reports it as written.
#[tokio::test]
async fn a_write_whose_response_is_lost_is_read_back() {
    for loss in [LossKind::Cut, LossKind::BadGateway] {
        let (standin, client) = platform().await;
        let faults =
            PlatformFaults { lose_answers: 2, loss, ..Default::default() };
        standin.set_faults(faults);

        let lost = put(&client, PutCondition::Absent, "one").await;
        let found = client.get("key").await.expect("key is readable");
        let version = found.expect("write took effect").version;
        let condition = PutCondition::Version(version);
        let value = Bytes::from_static(b"two");
        let outcome =
            resolve_write(&client, "key", condition, value, None).await;

        assert!(matches!(lost, Err(StoreError::Unknown(_))), "{lost:?}");
        assert!(
            matches!(outcome, Ok(WriteOutcome::Written(_))),
            "{outcome:?}"
        );
    }
}

/// A refused connection certainly had no effect. After the outage the same
/// port serves again, with the values stored before.
#[tokio::test]
async fn an_outage_refuses_calls_until_it_ends() {
    let (standin, client) = platform().await;
    put(&client, PutCondition::Absent, "one").await.expect("value is written");

    standin.set_faults(outage(OutageKind::Refuse));
    // A call on the pooled connection, which is closed, has an unknown
    // outcome; the next call finds the closed port.
    let mut refused = put(&client, PutCondition::Absent, "two").await;
    while matches!(refused, Err(StoreError::Unknown(_))) {
        refused = put(&client, PutCondition::Absent, "two").await;
    }
    standin.set_faults(PlatformFaults::default());
    let value = read_until_success(&client).await;

    assert!(matches!(refused, Err(StoreError::Unavailable(_))), "{refused:?}");
    assert_eq!(value, Some(Bytes::from_static(b"one")));
}

/// A hanging platform never responds: a read has certainly failed, while a
/// write may have taken effect.
#[tokio::test]
async fn a_hanging_platform_leaves_a_write_unknown() {
    let (standin, client) = platform().await;
    standin.set_faults(outage(OutageKind::Hang));

    let (read, write) = tokio::join!(
        client.get("key"),
        put(&client, PutCondition::Absent, "one"),
    );

    assert!(matches!(read, Err(StoreError::Unavailable(_))), "{read:?}");
    assert!(matches!(write, Err(StoreError::Unknown(_))), "{write:?}");
}

/// Calls beyond the rate are refused and have no effect; the counters show how
/// many of each kind were accepted.
#[tokio::test]
async fn calls_beyond_the_rate_are_refused() {
    let (standin, client) = platform().await;
    standin.set_faults(PlatformFaults {
        reads_per_second: 0,
        writes_per_second: 0,
        ..PlatformFaults::default()
    });

    let read = client.get("key").await;
    let write = put(&client, PutCondition::Absent, "one").await;
    standin.set_faults(PlatformFaults::default());
    let found = client.get("key").await;

    assert!(matches!(read, Err(StoreError::Unavailable(_))), "{read:?}");
    assert!(matches!(write, Err(StoreError::Unavailable(_))), "{write:?}");
    assert_eq!(found, Ok(None));
    let expected = CallTally { reads: 1, refused: 2, ..CallTally::default() };
    assert_eq!(standin.counts(), expected);
    assert_eq!(client.counts().get(CallKind::Read), 2);
}

/// After a restore from a snapshot, values and versions are the older ones
/// again, and a waiting watch reports it.
#[tokio::test]
async fn a_restore_brings_older_versions_back() {
    let (standin, client) = platform().await;
    let first = put(&client, PutCondition::Absent, "one").await;
    let Ok(PutOutcome::Written(first)) = first else {
        panic!("not written: {first:?}");
    };
    standin.snapshot();
    let second = put(&client, PutCondition::Version(first), "two").await;
    let Ok(PutOutcome::Written(second)) = second else {
        panic!("not written: {second:?}");
    };

    let watch = client.watch("key", second, TimeSpan::from_millis(5_000));
    let restore = async { standin.restore() };
    let (seen, ()) = tokio::join!(watch, restore);

    let seen = seen.expect("key is readable").expect("key has a value");
    assert_eq!(seen.version, first);
    assert_eq!(seen.value, Bytes::from_static(b"one"));
    assert!(first < second);
}

#[tokio::test]
async fn a_value_is_removed_with_its_lease() {
    let (_standin, client) = platform().await;
    let lease = client.lease(TimeSpan::from_millis(60_000)).await;
    let lease = lease.expect("lease is granted");
    let value = Bytes::from_static(b"holder");
    let put = client.put("key", PutCondition::Absent, value, Some(lease));
    put.await.expect("value is written");

    client.end(lease).await.expect("lease is ended");

    assert_eq!(client.get("key").await, Ok(None));
    assert_eq!(client.renew(lease).await, Ok(false));
}

/// The VM list lags, shows a VM that does not exist and leaves out one
/// that does.
#[tokio::test]
async fn the_vm_list_lags_and_is_wrong() {
    let (standin, client) = platform().await;
    standin.set_vms(vec![vm("vm-1"), vm("vm-2")]);
    let true_list = client.vms().await;

    standin.set_faults(PlatformFaults {
        vm_wrong: vec![vm("ghost")],
        vm_hidden: vec![vm("vm-1").name],
        ..PlatformFaults::default()
    });
    let wrong = client.vms().await;
    standin.set_faults(PlatformFaults {
        vm_lag_ms: 3_600_000,
        ..PlatformFaults::default()
    });
    let lagging = client.vms().await;

    assert_eq!(true_list, Ok(vec![vm("vm-1"), vm("vm-2")]));
    assert_eq!(wrong, Ok(vec![vm("vm-2"), vm("ghost")]));
    assert_eq!(lagging, Ok(vec![]));
}

/// Faults can be set over HTTP, at an address that no outage affects.
#[tokio::test]
async fn faults_are_set_over_http_also_during_an_outage() {
    let (standin, client) = platform().await;
    put(&client, PutCondition::Absent, "one").await.expect("value is written");
    let http = reqwest::Client::new();
    let url = format!("http://{}/faults", standin.admin_address());
    let set = async |faults: &PlatformFaults| {
        let response = http.post(&url).json(faults).send().await;
        response.expect("platform responds").status().is_success()
    };

    let fault_set = set(&outage(OutageKind::Refuse)).await;
    let during = client.get("key").await;
    let fault_cleared = set(&PlatformFaults::default()).await;
    let after = read_until_success(&client).await;

    assert!(fault_set && fault_cleared);
    assert!(matches!(during, Err(StoreError::Unavailable(_))), "{during:?}");
    assert_eq!(after, Some(Bytes::from_static(b"one")));
}
