//! What is left out of a stream's messages is put back at the other end.

use goldcrestramp_wire::{
    delta::{DeltaDecoder, DeltaEncoder},
    peer::{PermitReply, PermitRequest, ServerOrder, ServerReport, Token},
};
use proptest::prelude::*;

/// A few servers, each at one of a few versions.
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
    fn every_report_arrives_whole(
        states in prop::collection::vec((servers(), 1_u64..3), 1..20),
    ) {
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        for (sequence, (servers, start)) in (1..).zip(states) {
            let servers = servers.into_iter().map(|(n, v)| report(n, v));
            let whole = PermitRequest {
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
            let delta = encoder.request(whole.clone());
            let mut back = decoder.request(delta).expect("few servers");
            back.servers.sort_by(|a, b| a.server.cmp(&b.server));
            prop_assert_eq!(back, whole);
        }
    }

    #[test]
    fn every_reply_arrives_whole(
        states in prop::collection::vec((servers(), any::<bool>()), 1..20),
    ) {
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        for (servers, permitted) in states {
            let orders = servers.into_iter().filter(|_| permitted);
            let orders = orders.map(|(n, v)| order(n, v)).collect();
            let whole =
                PermitReply { permitted, orders, ..PermitReply::default() };
            let delta = encoder.reply(whole.clone());
            let mut back = decoder.reply(delta).expect("few servers");
            back.orders.sort_by(|a, b| a.server.cmp(&b.server));
            prop_assert_eq!(back, whole);
        }
    }
}

#[test]
fn an_unchanged_report_is_a_few_bytes() {
    let mut encoder = DeltaEncoder::default();
    let whole = PermitRequest {
        vm: "vm-1".to_owned(),
        start: 7,
        servers: (0..8).map(|number| report(number, 1)).collect(),
        ..PermitRequest::default()
    };

    let first = encoder.request(whole.clone());
    let second = encoder.request(PermitRequest { sequence: 2, ..whole });

    assert_eq!(first.servers.len(), 8);
    let expected = PermitRequest { sequence: 2, ..PermitRequest::default() };
    assert_eq!(second, expected);
}
