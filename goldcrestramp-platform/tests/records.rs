//! Stored records decode to what was encoded, or are rejected as a whole.

use std::sync::Arc;

use goldcrestramp_config::EntityRevision;
use goldcrestramp_ownership::{
    DomainRecord, RecordDomain, RosterVoter, ServiceRecord, SliceHolding,
    StrandedCause, VoterRoster,
};
use goldcrestramp_platform::records::{
    DomainHead, DomainShard, PlannerRecord, RecordError, SHARD_SLICES,
    ServerDirectory, StoreRecord,
};
use goldcrestramp_types::{
    DomainName, FastMap, FenceToken, ServerName, ServiceName, SliceCount,
    SliceIndex, SliceSet, TermId, VmName,
};
use proptest::prelude::*;

const SLICES: u32 = 8_192;
const SERVERS: u8 = 5;

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("name is valid")
}

fn record_domain(name: &str) -> RecordDomain {
    RecordDomain { name: domain(name), ticket: EntityRevision(3, 1) }
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("name is valid")
}

fn server(number: u8) -> ServerName {
    ServerName::new(&format!("server-{number}")).expect("name is valid")
}

fn token(sequence: u64) -> FenceToken {
    FenceToken { term: TermId { number: 3, vm: 7, start: 9 }, sequence }
}

/// Servers 0 to 3 belong to `stock`, server 4 to `orders`.
fn directory() -> ServerDirectory {
    let count = SliceCount::new(SLICES).expect("count is a power of two");
    let mut directory = ServerDirectory::new();
    for name in ["stock", "orders"] {
        directory.add_service(service(name), count);
    }
    for number in 0..SERVERS {
        let name = if number == 4 { "orders" } else { "stock" };
        directory.add_server(server(number), service(name));
    }
    directory
}

fn record_of(holdings: &[(u32, u8)], sequence: u64) -> DomainRecord {
    let mut seen = SliceSet::new();
    let mut record =
        DomainRecord { token: token(sequence), ..DomainRecord::default() };
    for (number, holder) in holdings {
        let slice = SliceIndex::new(*number).expect("slice is in range");
        if !seen.insert(slice) {
            continue;
        }
        if *holder == SERVERS {
            let released = record.released.entry(service("stock"));
            released.or_default().insert(slice);
        } else {
            let held = record.holders.entry(server(*holder));
            held.or_default().insert(slice);
        }
    }
    let causes =
        [("stock", StrandedCause::Lost), ("orders", StrandedCause::Leaving)];
    // None, one or both.
    for (_, (name, cause)) in (0..sequence % 3).zip(causes) {
        record.stranded.insert(service(name), cause);
    }
    record
}

fn service_record(holdings: &[(u16, Option<u16>)]) -> ServiceRecord {
    let slices = holdings.iter().map(|(domain, target)| SliceHolding {
        domain: *domain,
        target: target.filter(|target| target != domain),
    });
    ServiceRecord {
        service: service("stock"),
        revision: 12,
        domains: ["a", "b", "c"].map(record_domain).into(),
        slices: slices.collect(),
    }
}

proptest! {
    #[test]
    fn a_domain_record_equals_its_joined_shards(
        holdings in prop::collection::vec((0..SLICES, 0..=SERVERS), 0..300),
        sequence in any::<u64>(),
    ) {
        let record = record_of(&holdings, sequence);
        let name = domain("sierra-a");
        let shards = DomainHead::split(&name, &record, &directory());
        let shards = shards.expect("record is valid");
        let head = DomainHead::of(name, record.token, &shards, record.stranded.clone());

        let read: Vec<DomainShard> = shards
            .iter()
            .map(|shard| shard.encode().expect("value is within bounds"))
            .map(|value| DomainShard::decode(&value).expect("value decodes"))
            .collect();
        let value = head.encode().expect("value is within bounds");
        let head = DomainHead::decode(&value).expect("value decodes");

        prop_assert_eq!(head.join(&read), Ok(record));
    }

    #[test]
    fn a_service_record_decodes_to_itself(
        holdings in prop::collection::vec(
            (0_u16..3, prop::option::of(0_u16..3)), 1_024),
    ) {
        let record = service_record(&holdings);

        let value = record.encode().expect("value is within bounds");

        prop_assert_eq!(ServiceRecord::decode(&value), Ok(record));
    }

    #[test]
    fn a_roster_decodes_to_itself(
        voters in prop::collection::btree_set("[a-z]{1,8}", 1..=5),
        version in any::<u64>(),
    ) {
        let voters = voters.iter().map(|name| RosterVoter {
            vm: VmName::new(name).expect("name is valid"),
            address: Arc::from("127.0.0.1:7001"),
        });
        let voters = voters.collect();
        let roster = VoterRoster { domain: domain("a"), version, voters };

        let value = roster.encode().expect("value is within bounds");

        prop_assert_eq!(VoterRoster::decode(&value), Ok(roster));
    }

    /// A truncated or modified value is rejected or decodes to a valid
    /// record, which can be encoded again.
    #[test]
    fn a_damaged_value_never_decodes_to_an_invalid_record(
        position in 0_usize..400, byte in any::<u8>(), cut in any::<bool>(),
    ) {
        let record = service_record(&[(0, None), (1, Some(2)), (2, None),
            (2, Some(0))]);
        let value = record.encode().expect("value is within bounds");
        let mut bytes = value.to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        if cut {
            bytes.truncate(position);
        }
        if let Ok(read) = ServiceRecord::decode(&bytes) {
            let value = read.encode().expect("record is valid");
            prop_assert_eq!(ServiceRecord::decode(&value), Ok(read));
        }
    }
}

#[test]
fn malformed_service_records_are_rejected() {
    let valid = r#"{"service":"stock","count":4,"revision":1,
        "domains":[["a",[1,0]],["b",[2,0]]],"held":[[2,0],[2,1]],"moving":[[0,1]]}"#;
    ServiceRecord::decode(valid.as_bytes()).expect("value decodes");
    let faults = [
        ("\"count\":4", "\"count\":3"),
        ("\"count\":4", "\"count\":8"),
        ("[[2,0],[2,1]]", "[[2,0],[2,2]]"),
        ("[[2,0],[2,1]]", "[[2,0],[0,1],[2,1]]"),
        ("[[2,0],[2,1]]", "[[4294967295,0],[2,1]]"),
        ("[\"b\",[2,0]]", "[\"a\",[2,0]]"),
        ("[\"b\",[2,0]]", "[\"b\",[-1,0]]"),
        ("[[0,1]]", "[[0,0]]"),
        ("[[0,1]]", "[[4,1]]"),
        ("[[0,1]]", "[[0,2]]"),
        ("[[0,1]]", "[[0,1],[0,1]]"),
        ("\"revision\":1", "\"revision\":1,\"extra\":1"),
        ("\"revision\":1", "\"revision\":-1"),
    ];
    for (from, to) in faults {
        let invalid = valid.replace(from, to);
        let read = ServiceRecord::decode(invalid.as_bytes());
        assert!(read.is_err(), "{to} was accepted");
    }
}

#[test]
fn malformed_shards_are_rejected() {
    let valid = r#"{"domain":"a","service":"stock","shard":1,
        "token":{"term":{"number":1,"vm":2,"start":3},"sequence":4},
        "servers":["s1","s2"],"slices":[[2,0],[3,1],[1,-2]]}"#;
    DomainShard::decode(valid.as_bytes()).expect("value decodes");
    let faults = [
        ("[3,1]", "[3,2]"),
        ("[3,1]", "[3,-3]"),
        ("[3,1]", "[4095,1]"),
        ("\"shard\":1", "\"shard\":16"),
        ("[\"s1\",\"s2\"]", "[\"s1\",\"s1\"]"),
        ("\"sequence\":4", "\"sequence\":4,\"extra\":1"),
    ];
    for (from, to) in faults {
        let invalid = valid.replace(from, to);
        let read = DomainShard::decode(invalid.as_bytes());
        assert!(read.is_err(), "{to} was accepted");
    }
}

/// If a VM counts twice, two VMs of four pass as a majority. Two stewards
/// could then act at the same time, and a slice would have two owners.
#[test]
fn a_roster_with_a_duplicate_voter_is_rejected() {
    let invalid = r#"{"domain":"a","version":1,"voters":[
        {"vm":"vm-1","address":"127.0.0.1:1"},
        {"vm":"vm-1","address":"127.0.0.1:2"}]}"#;
    let read = VoterRoster::decode(invalid.as_bytes());
    assert_eq!(read, Err(RecordError::Duplicate("vm-1".into())));
}

/// The steward's write is interrupted between the shards and the head, or
/// the store is restored with one older shard. The joined record would mix
/// two decisions under the newer token. It is rejected, and the steward
/// queries its servers.
#[test]
fn a_shard_older_than_its_head_is_rejected() {
    let record = record_of(&[(1, 0), (5_000, 1)], 8);
    let name = domain("sierra-a");
    let mut shards = DomainHead::split(&name, &record, &directory())
        .expect("record is valid");
    let head =
        DomainHead::of(name, record.token, &shards, record.stranded.clone());

    shards[0].token = token(7);

    assert!(matches!(head.join(&shards), Err(RecordError::Outdated(_))));
}

/// A record with two holders of a slice, or with a slice that is released and
/// held, would lead to two owners after a recovery.
#[test]
fn a_slice_with_two_holders_is_never_written() {
    let slice: SliceSet = SliceIndex::new(7).into_iter().collect();
    let two: FastMap<_, _> =
        [(server(0), slice.clone()), (server(1), slice.clone())]
            .into_iter()
            .collect();
    let one: FastMap<_, _> =
        [(server(0), slice.clone())].into_iter().collect();
    let released: FastMap<_, _> =
        [(service("stock"), slice)].into_iter().collect();
    let cases = [(two, FastMap::default()), (one, released)];
    for (holders, released) in cases {
        let record = DomainRecord {
            token: token(1),
            holders,
            released,
            ..DomainRecord::default()
        };
        let split = DomainHead::split(&domain("a"), &record, &directory());
        assert!(matches!(split, Err(RecordError::Duplicate(_))));
    }
}

/// The largest record of each kind stays below the store's limit of a
/// megabyte.
#[test]
fn the_largest_values_are_below_the_limit() {
    let slices = (0_u16..=u16::MAX)
        .map(|number| SliceHolding { domain: 10 + number % 90, target: None });
    let names =
        (0..100).map(|number| record_domain(&format!("domain-{number}")));
    let largest = ServiceRecord {
        service: service("stock"),
        revision: u64::MAX,
        domains: names.collect(),
        slices: slices.collect(),
    };
    let size = largest.encode().expect("value is within bounds").len();
    assert!(size < 530_000, "a service's record takes {size} bytes");

    let holders = (0..SHARD_SLICES).map(|number| {
        let name = format!("{number:064}");
        let slice: SliceSet = SliceIndex::new(number).into_iter().collect();
        (ServerName::new(&name).expect("name is valid"), slice)
    });
    let shard = DomainShard {
        domain: domain("a"),
        service: service("stock"),
        shard: 0,
        token: token(u64::MAX),
        holders: holders.collect(),
        released: SliceSet::new(),
    };
    let size = shard.encode().expect("value is within bounds").len();
    assert!(size < 400_000, "a shard takes {size} bytes");
}

#[test]
fn the_planner_record_decodes_to_itself() {
    let record = PlannerRecord {
        vm: VmName::new("vm-1").expect("name is valid"),
        start: 5,
        address: Arc::from("127.0.0.1:7001"),
    };
    let value = record.encode().expect("value is within bounds");
    assert_eq!(PlannerRecord::decode(&value), Ok(record));
}
