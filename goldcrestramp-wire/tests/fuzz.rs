//! Any bytes from a peer or a server decode or are rejected, without a panic.

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

/// Generates mostly small byte values. Field numbers and lengths are small,
/// so such bytes reach deeper into the decoder.
fn message_bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![3 => 0_u8..0x30, 1 => any::<u8>()];
    prop::collection::vec(byte, LENGTH)
}

/// Checks that a decoded message is equal after encoding and decoding it.
fn check_message<T: Message + Default + PartialEq + Debug>(bytes: &[u8]) {
    if let Ok(decoded) = T::decode(bytes) {
        let again = T::decode(&*decoded.encode_to_vec())
            .expect("encoded message decodes");
        assert_eq!(again, decoded);
    }
}

fn check_json<T: DeserializeOwned + Serialize + PartialEq + Debug>(
    text: &str,
) {
    if let Ok(decoded) = serde_json::from_str::<T>(text) {
        let encoded =
            serde_json::to_string(&decoded).expect("message encodes as JSON");
        let again: T =
            serde_json::from_str(&encoded).expect("encoded message decodes");
        assert_eq!(again, decoded);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_message_decodes_or_is_rejected(bytes in message_bytes()) {
        check_message::<RouteRequest>(&bytes);
        check_message::<RouteFrame>(&bytes);
        check_message::<ConfirmRequest>(&bytes);
        check_message::<ConfirmReply>(&bytes);
        check_message::<PermitRequest>(&bytes);
        check_message::<PermitReply>(&bytes);
        check_message::<TablesRequest>(&bytes);
        check_message::<TableUpdate>(&bytes);
        check_message::<OrderParcel>(&bytes);
    }

    #[test]
    fn any_stream_of_deltas_decodes_or_is_rejected(
        messages in prop::collection::vec(message_bytes(), 1..6),
    ) {
        let mut decoder = DeltaDecoder::default();
        for bytes in &messages {
            if let Ok(delta) = PermitRequest::decode(&**bytes) {
                let gone = delta.gone.clone();
                let named: Vec<_> =
                    delta.servers.iter().map(|s| s.server.clone()).collect();
                let full = decoder
                    .request(delta)
                    .expect("server count is within the limit");
                let mut known = full.servers.iter().map(|s| &s.server);
                prop_assert!(
                    known.all(|s| named.contains(s) || !gone.contains(s))
                );
            }
            if let Ok(delta) = PermitReply::decode(&**bytes) {
                prop_assert!(
                    decoder.reply(delta).is_some(),
                    "too many servers"
                );
            }
        }
    }

    #[test]
    fn tokens_decode_or_are_rejected(text in "[0-9a-fx.+ -]{0,60}|.{0,40}") {
        if let Some(token) = decode_token(&text) {
            prop_assert_eq!(decode_token(&encode_token(token)), Some(token));
        }
    }

    #[test]
    fn every_encoded_token_decodes(
        (number, vm, start, sequence) in any::<(u64, u64, u64, u64)>(),
    ) {
        let term = TermId { number, vm, start };
        let token = FenceToken { term, sequence };

        prop_assert_eq!(decode_token(&encode_token(token)), Some(token));
    }

    #[test]
    fn any_server_message_decodes_or_is_rejected(
        text in "\\{(\"(service|token|slices|release|deadline|run|accepted|\
                 held|busy|state|age|clock|fence)\":\
                 (null|true|-?[0-9]{1,20}|\"[a-z.0-9-]{0,9}\"|\
                 \\[\\[?[0-9]{0,6},?[0-9]{0,6}\\]?\\]),?){0,9}\\}",
    ) {
        check_json::<GrantOrder>(&text);
        check_json::<GrantReply>(&text);
        check_json::<RequestReport>(&text);
    }
}
