//! Applying a delta to its base table gives the other table.

use std::sync::Arc;

use goldcrestramp_ownership::{
    DomainTable, ServiceTable, TableChange, TableServer,
};
use goldcrestramp_types::{
    DomainName, ServerName, ServiceName, SliceCount, TableVersion, VmName,
};
use proptest::prelude::*;

fn server(number: u8, keeper: u8) -> TableServer {
    TableServer {
        server: ServerName::new(&format!("s-{number}"))
            .expect("name is valid"),
        keeper: VmName::new(&format!("vm-{keeper}")).expect("name is valid"),
        address: Arc::from(format!("127.0.0.1:{keeper}")),
    }
}

/// Servers in any order, and an owner, or none, for each of 16 slices.
fn service(name: &'static str) -> impl Strategy<Value = ServiceTable> {
    let servers = prop::collection::btree_map(0_u8..5, 0_u8..3, 1..5);
    let owners = prop::collection::vec(prop::option::of(0_u16..5), 16);
    (servers, owners, any::<bool>()).prop_map(move |(servers, owners, up)| {
        let mut servers: Vec<_> =
            servers.into_iter().map(|(n, keeper)| server(n, keeper)).collect();
        if up {
            servers.reverse();
        }
        let count = u16::try_from(servers.len()).expect("count fits into u16");
        let owners =
            owners.into_iter().map(|owner| owner.map(|index| index % count));
        ServiceTable {
            service: ServiceName::new(name).expect("name is valid"),
            count: SliceCount::new(16).expect("count is a power of two"),
            servers,
            owners: owners.collect(),
        }
    })
}

fn table(sequence: u64) -> impl Strategy<Value = DomainTable> {
    (service("stock"), service("export")).prop_map(move |(one, two)| {
        DomainTable {
            domain: DomainName::new("sierra-a").expect("name is valid"),
            version: TableVersion { sequence, ..TableVersion::default() },
            services: vec![one, two],
        }
    })
}

proptest! {
    #[test]
    fn a_delta_leads_from_the_old_table_to_the_new(
        old in table(1), new in table(2),
    ) {
        let change = TableChange::between(&old, &new).expect("same services");
        prop_assert_eq!(change.apply(&old), Some(new.clone()));
        prop_assert_eq!(change.apply(&new), None);
    }
}

#[test]
fn a_table_with_other_services_has_no_delta() {
    let empty = DomainTable {
        domain: DomainName::new("sierra-a").expect("name is valid"),
        version: TableVersion::default(),
        services: Vec::new(),
    };
    let mut other = empty.clone();
    other.services.push(ServiceTable {
        service: ServiceName::new("stock").expect("name is valid"),
        count: SliceCount::new(16).expect("count is a power of two"),
        servers: Vec::new(),
        owners: vec![None; 16],
    });

    assert_eq!(TableChange::between(&empty, &other), None);
}
