//! Settings files: defaults, and the report of all faults at once.

use goldcrestramp_config::{FaultList, parse_settings};

const VALID: &str = r#"{
  // who this daemon is
  "deployment": "tiendalista",
  "vm": "vm-1",
  "domain": "sierra-a",
  "region": "sierra",
  "callers_listen": "127.0.0.1:8080",
  "peers_listen": "127.0.0.1:8081",
  "control_listen": "127.0.0.1:8083",
  "platform_url": "http://127.0.0.1:7000",
  "operators": { "listen": "127.0.0.1:8082" }
}"#;

/// Returns `VALID` with the first occurrence of `from` replaced by `to`.
fn replaced(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "fixture contains {from}");
    VALID.replacen(from, to, 1)
}

fn faults_of(text: &str) -> FaultList {
    parse_settings("node.jsonc", text).expect_err("text has a fault")
}

#[test]
fn absent_fields_get_their_defaults() {
    let settings =
        parse_settings("node.jsonc", VALID).expect("settings parse");

    assert_eq!(settings.gateway_requests, 4_096);
    assert_eq!(settings.body_bytes, 1_048_576);
    assert_eq!(settings.log.level, "info");
    assert_eq!(settings.peers_address, None);
}

#[test]
fn all_faults_are_reported_with_their_positions() {
    let text = r#"{
  /* two lines
     of comment */ "deployment": "x",
  "vm": "vm 1",
  "domain": 7,
  "callers_listen": "localhost:80",
  "peers_listen": "127.0.0.1:8081",
  "control_listen": "127.0.0.1:8083",
  "platform_url": "http://127.0.0.1:7000",
  "operators": { "listen": "10.0.0.1:8082", "colour": "red" },
  "log": { "level": "loud", "format": "xml" },
  "body_bytes": 3,
  "body_byte": 3,
  "vm": "vm-2"
}"#;

    let faults = faults_of(text).to_string();

    insta::assert_snapshot!(faults, @r#"
    node.jsonc:1:1: the field `region` is missing
    node.jsonc:4:9: vm: a name may not hold ' '
    node.jsonc:5:13: domain: invalid type: integer `7`, expected a string
    node.jsonc:6:21: callers_listen: invalid socket address syntax
    node.jsonc:10:16: operators.token_file: needed when operators are served off loopback
    node.jsonc:10:45: operators.colour: unknown field; known are listen, token_file
    node.jsonc:11:21: log.level: must be one of error, warn, info, debug, trace
    node.jsonc:11:39: log.format: unknown variant `xml`, expected `text` or `json`
    node.jsonc:12:17: body_bytes: 3 is not within 1024 to 67108864
    node.jsonc:13:3: body_byte: unknown field; is `body_bytes` meant?
    node.jsonc:14:3: vm: this field stands twice
    "#);
}

#[test]
fn each_single_fault_has_its_path() {
    let cases = [
        (replaced("\"vm\"", "\"vm\" \"x\""), ""),
        (replaced("8081", "8080"), "peers_listen"),
        (replaced("127.0.0.1:8082", "127.0.0.1:8080"), "operators.listen"),
        (replaced("127.0.0.1:8082", "0.0.0.0:1"), "operators.token_file"),
        (replaced("127.0.0.1:8083", "127.0.0.1:8081"), "control_listen"),
        (replaced("127.0.0.1:8081", "10.0.0.1:8081"), "peers_listen"),
        (replaced("http://", "https://"), "platform_url"),
        (replaced("\"tiendalista\"", "\"\""), "deployment"),
        (replaced("{\n", "{ \"gateway_requests\": 0,\n"), "gateway_requests"),
        (replaced("{\n", "{ \"gateway_requests\": -1,\n"), "gateway_requests"),
        (replaced("{\n", "{ \"peer_tls\": [],\n"), "peer_tls"),
    ];
    for (text, path) in cases {
        let faults = faults_of(&text);

        let paths: Vec<_> = faults.faults().iter().map(|f| &f.path).collect();
        assert_eq!(paths, [path], "{text}");
    }
}

#[test]
fn names_that_are_no_dns_labels_are_rejected_with_tls() {
    let tls = r#"{ "peer_tls": { "authority_file": "a",
        "certificate_file": "b", "key_file": "c" },"#;
    let text = replaced("{\n", tls).replace("sierra-a", "sierra.a");

    let faults = faults_of(&text);

    assert_eq!(faults.faults().len(), 1);
    assert_eq!(faults.faults()[0].path, "domain");
}

#[test]
fn a_peers_address_must_be_reachable() {
    let tls = r#"{ "peer_tls": { "authority_file": "a",
        "certificate_file": "b", "key_file": "c" },"#;
    let text = replaced("{\n", tls).replace("127.0.0.1:8081", "0.0.0.0:8081");

    let faults = faults_of(&text);

    assert_eq!(faults.faults()[0].path, "peers_address");
}
