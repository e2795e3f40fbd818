//! The decoder restores what the encoder leaves out of a stream's messages.

use goldcrestramp_wire::{
    delta::{DeltaDecoder, DeltaEncoder},
    peer::{PermitReply, PermitRequest, ServerOrder, ServerReport, Token},
};
use proptest::prelude::*;

/// Generates up to five servers, each with one of three versions.
fn servers() -> impl Strategy<Value = Vec<(u8, u64)>> {
    prop::collection::btree_map(0_u8..6, 0_u64..3, 0..6)
        .prop_map(|servers| servers.into_iter().collect())
}

fn report(number: u8, version: u64) -> ServerReport {
    let server = format!("server-{number}");
    ServerReport { server, version, ..ServerReport::default() }
}

fn order(number: u8, seen: u64) -> ServerOrder {
    let server = format!("server-{number}");
    ServerOrder { server, seen, ..ServerOrder::default() }
}

proptest! {
    #[test]
    fn every_report_is_restored(
        states in prop::collection::vec((servers(), 1_u64..3), 1..20),
    ) {
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        for (sequence, (servers, start)) in (1..).zip(states) {
            let servers = servers.into_iter().map(|(n, v)| report(n, v));
            let full = PermitRequest {
                vm: "vm-1".to_owned(),
                address: "127.0.0.1:1".to_owned(),
                domain: "sierra-a".to_owned(),
                start,
                sequence,
                config_version: sequence / 3,
                table: (sequence > 4).then(|| Token {
                    sequence: sequence / 4,
                    ..Token::default()
                }),
                servers: servers.collect(),
                ..PermitRequest::default()
            };
            let delta = encoder.request(full.clone());
            let mut decoded = decoder
                .request(delta)
                .expect("server count is within the limit");
            decoded.servers.sort_by(|a, b| a.server.cmp(&b.server));
            prop_assert_eq!(decoded, full);
        }
    }

    #[test]
    fn every_reply_is_restored(
        states in prop::collection::vec((servers(), any::<bool>()), 1..20),
    ) {
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        for (servers, permitted) in states {
            let orders = servers.into_iter().filter(|_| permitted);
            let orders = orders.map(|(n, v)| order(n, v)).collect();
            let full =
                PermitReply { permitted, orders, ..PermitReply::default() };
            let delta = encoder.reply(full.clone());
            let mut decoded = decoder
                .reply(delta)
                .expect("server count is within the limit");
            decoded.orders.sort_by(|a, b| a.server.cmp(&b.server));
            prop_assert_eq!(decoded, full);
        }
    }
}

#[test]
fn an_unchanged_report_omits_its_fields() {
    let mut encoder = DeltaEncoder::default();
    let full = PermitRequest {
        vm: "vm-1".to_owned(),
        start: 7,
        servers: (0..8).map(|number| report(number, 1)).collect(),
        ..PermitRequest::default()
    };

    let first = encoder.request(full.clone());
    let second = encoder.request(PermitRequest { sequence: 2, ..full });

    assert_eq!(first.servers.len(), 8);
    let expected = PermitRequest { sequence: 2, ..PermitRequest::default() };
    assert_eq!(second, expected);
}
