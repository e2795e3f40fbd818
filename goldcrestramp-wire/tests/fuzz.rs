//! Any bytes from a peer or a server are read or refused, never a panic.

use std::{fmt::Debug, ops::Range};

use goldcrestramp_types::{FenceToken, TermId};
use goldcrestramp_wire::{
    delta::DeltaDecoder,
    peer::{
        ConfirmReply, ConfirmRequest, OrderParcel, PermitReply, PermitRequest,
        RouteFrame, RouteRequest, TableUpdate, TablesRequest,
    },
    server::{
        GrantOrder, GrantReply, RequestReport, decode_token, encode_token,
    },
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use prost::Message;
use serde::{Serialize, de::DeserializeOwned};

const LENGTH: Range<usize> = 0..300;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Fields and lengths of messages are small numbers: such bytes get further
/// than others.
fn message_bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![3 => 0_u8..0x30, 1 => any::<u8>()];
    prop::collection::vec(byte, LENGTH)
}

/// What can be read is the same when it is written and read again.
fn read_message<T: Message + Default + PartialEq + Debug>(bytes: &[u8]) {
    if let Ok(read) = T::decode(bytes) {
        let again = T::decode(&*read.encode_to_vec()).expect("its own bytes");
        assert_eq!(again, read);
    }
}

fn read_json<T: DeserializeOwned + Serialize + PartialEq + Debug>(text: &str) {
    if let Ok(read) = serde_json::from_str::<T>(text) {
        let written = serde_json::to_string(&read).expect("text");
        let again: T = serde_json::from_str(&written).expect("its own text");
        assert_eq!(again, read);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_message_is_read_or_refused(bytes in message_bytes()) {
        read_message::<RouteRequest>(&bytes);
        read_message::<RouteFrame>(&bytes);
        read_message::<ConfirmRequest>(&bytes);
        read_message::<ConfirmReply>(&bytes);
        read_message::<PermitRequest>(&bytes);
        read_message::<PermitReply>(&bytes);
        read_message::<TablesRequest>(&bytes);
        read_message::<TableUpdate>(&bytes);
        read_message::<OrderParcel>(&bytes);
    }

    #[test]
    fn any_stream_of_changes_is_put_together_or_refused(
        messages in prop::collection::vec(message_bytes(), 1..6),
    ) {
        let mut decoder = DeltaDecoder::default();
        for bytes in &messages {
            if let Ok(delta) = PermitRequest::decode(&**bytes) {
                let gone = delta.gone.clone();
                let named: Vec<_> =
                    delta.servers.iter().map(|s| s.server.clone()).collect();
                let whole = decoder.request(delta).expect("few servers");
                let mut known = whole.servers.iter().map(|s| &s.server);
                prop_assert!(
                    known.all(|s| named.contains(s) || !gone.contains(s))
                );
            }
            if let Ok(delta) = PermitReply::decode(&**bytes) {
                prop_assert!(decoder.reply(delta).is_some(), "few servers");
            }
        }
    }

    #[test]
    fn any_token_is_read_or_refused(text in "[0-9a-fx.+ -]{0,60}|.{0,40}") {
        if let Some(token) = decode_token(&text) {
            prop_assert_eq!(decode_token(&encode_token(token)), Some(token));
        }
    }

    #[test]
    fn every_token_arrives(
        (number, vm, start, sequence) in any::<(u64, u64, u64, u64)>(),
    ) {
        let term = TermId { number, vm, start };
        let token = FenceToken { term, sequence };

        prop_assert_eq!(decode_token(&encode_token(token)), Some(token));
    }

    #[test]
    fn any_server_message_is_read_or_refused(
        text in "\\{(\"(service|token|slices|release|deadline|run|accepted|\
                 held|busy|state|age|clock|fence)\":\
                 (null|true|-?[0-9]{1,20}|\"[a-z.0-9-]{0,9}\"|\
                 \\[\\[?[0-9]{0,6},?[0-9]{0,6}\\]?\\]),?){0,9}\\}",
    ) {
        read_json::<GrantOrder>(&text);
        read_json::<GrantReply>(&text);
        read_json::<RequestReport>(&text);
    }
}
