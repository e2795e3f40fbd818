//! Finding requests in bytes from untrusted callers.

use goldcrestramp_entry::framing::{FrameStep, frame_request};
use proptest::{collection::vec, prelude::*};

/// The paths of the requests without a body that are found, and whether all of
/// the bytes were read.
fn find_requests(bytes: &[u8]) -> (Vec<String>, bool) {
    let mut paths = Vec::new();
    let mut rest = bytes;
    loop {
        let FrameStep::Framed(request) = frame_request(rest) else {
            return (paths, rest.is_empty());
        };
        if let Some(head) = request.head {
            paths.push(head.uri().path().to_owned());
        }
        let body = usize::try_from(request.body_bytes).unwrap_or(usize::MAX);
        let end = request.head_bytes.saturating_add(body);
        rest = &rest[end.min(rest.len())..];
    }
}

#[test]
fn requests_without_a_body_are_found_one_after_the_other() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: s\r\n\r\n\
        GET /b HTTP/1.1\r\nHost: s\r\nConnection: keep-alive\r\n\r\n";

    assert_eq!(find_requests(bytes), (vec!["/a".into(), "/b".into()], true));
}

/// Guards against request smuggling: the body of an order reads like a
/// request. If it were taken for one, it would run without its caller having
/// sent it.
#[test]
fn a_body_is_not_read_as_a_request() {
    let smuggled = "GET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n";
    let bytes = format!(
        "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{smuggled}\
         GET /b HTTP/1.1\r\nHost: s\r\n\r\n",
        smuggled.len()
    );

    assert_eq!(find_requests(bytes.as_bytes()), (vec!["/b".into()], true));
}

/// Guards against an ambiguous body length: one reader takes the following
/// bytes for the body and another for a request. Nothing behind it is read
/// ahead.
#[test]
fn an_ambiguous_request_is_opaque() {
    let heads = [
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Connection: close\r\n",
        "Connection: keep-alive\r\nConnection: close\r\n",
        "Connection: upgrade\r\nUpgrade: h2c\r\n",
        "Expect: 100-continue\r\n",
        "Content-Length : 3\r\n",
        " folded: 3\r\n",
    ];
    for head in heads {
        let bytes = format!("GET /a HTTP/1.1\r\nHost: s\r\n{head}\r\nabc");

        let step = frame_request(bytes.as_bytes());

        assert!(matches!(step, FrameStep::Opaque), "{head:?}");
    }
    let old_version = frame_request(b"GET /a HTTP/1.0\r\n\r\n");
    assert!(matches!(old_version, FrameStep::Opaque));
}

#[test]
fn a_part_of_a_head_is_incomplete() {
    let request = b"GET /a HTTP/1.1\r\nHost: s\r\n\r\n";
    for end in 0..request.len() {
        let step = frame_request(&request[..end]);

        assert!(matches!(step, FrameStep::Incomplete), "{end}");
    }
}

/// The number of cases of each property: few in a run by hand, more where the
/// environment sets it.
fn cases() -> ProptestConfig {
    let requested = std::env::var("GOLDCRESTRAMP_FUZZ_CASES").ok();
    let cases = requested.and_then(|text| text.parse().ok()).unwrap_or(2_000);
    ProptestConfig { cases, failure_persistence: None, ..Default::default() }
}

/// Pieces of requests, so that random bytes come close to valid requests.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    let texts = [
        "GET /a HTTP/1.1\r\n",
        "POST /b HTTP/1.1\r\n",
        "Host: s\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: 0\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "\r\n",
        "abcde",
        "\n",
    ];
    let known = proptest::sample::select(texts.to_vec());
    prop_oneof![
        8 => known.prop_map(|text| text.as_bytes().to_vec()),
        1 => vec(any::<u8>(), 0..8),
    ]
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against bytes that make the reader panic or read past their end.
    #[test]
    fn any_bytes_are_read_safely(pieces in vec(piece(), 0..20)) {
        let bytes = pieces.concat();
        match frame_request(&bytes) {
            FrameStep::Framed(request) => {
                prop_assert!(request.head_bytes <= bytes.len());
                prop_assert!(request.head_bytes > 0);
                let bare = request.head.is_some();
                prop_assert!(!bare || request.body_bytes == 0);
            }
            FrameStep::Incomplete | FrameStep::Opaque => {}
        }
    }

    /// Guards against a head that is read differently when its bytes arrive in
    /// parts than when they arrive at once with more behind it.
    #[test]
    fn a_complete_head_is_read_the_same_with_more_bytes_behind(
        pieces in vec(piece(), 0..12),
        more in vec(any::<u8>(), 0..40),
    ) {
        let bytes = pieces.concat();
        if let FrameStep::Framed(first) = frame_request(&bytes) {
            let longer = [bytes.as_slice(), &more].concat();
            let second_read = frame_request(&longer);
            let same = matches!(
                second_read,
                FrameStep::Framed(ref second)
                    if second.head_bytes == first.head_bytes
                        && second.body_bytes == first.body_bytes
            );
            prop_assert!(same);
        }
    }
}
