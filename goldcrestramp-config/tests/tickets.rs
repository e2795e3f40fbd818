//! Change tickets: acceptance, refusals with their paths, and the preview.

use std::fmt::Write;

use goldcrestramp_config::{
    AcceptOutcome, DeploymentState, MAX_STATE_BYTES, RefusalReason,
    accept_ticket, parse_ticket, preview_ticket,
};

const FIRST: &str = r#"{
  "ticket": 10,
  "domains": [
    { "name": "sierra-a", "region": "sierra" },
    { "name": "costa-a", "region": "costa" }
  ],
  "services": [{ "name": "stock", "slices": 64 }, { "name": "spare" }],
  "servers": [
    { "name": "s1", "service": "stock", "domain": "sierra-a", "slots": 4,
      "address": "10.0.0.1:80", "connections": 120, "checks_fence": true },
    { "name": "s2", "service": "stock", "domain": "costa-a", "slots": 4,
      "address": "10.0.0.2:80", "connections": 120, "checks_fence": false }
  ],
  "callers": [{ "name": "shop", "weight": 3 }]
}"#;

const S2: &str = r#"{ "name": "s2", "service": "stock", "domain": "costa-a",
  "address": "10.0.0.2:80", "slots": 4, "connections": 120,
  "checks_fence": false }"#;

fn submit(state: &DeploymentState, text: &str) -> AcceptOutcome {
    let document = parse_ticket("t.jsonc", text).expect("ticket parses");
    accept_ticket(state, &document.ticket)
}

fn accepted(state: &DeploymentState, text: &str) -> DeploymentState {
    match submit(state, text) {
        AcceptOutcome::Accepted(next) => *next,
        other => panic!("{other:?}"),
    }
}

fn first_state() -> DeploymentState {
    accepted(&DeploymentState::default(), FIRST)
}

/// Returns the refusals as `path code`, in order.
fn refusals(text: &str) -> Vec<String> {
    let AcceptOutcome::Refused(refusals) = submit(&first_state(), text) else {
        panic!("{text} was not refused");
    };
    let lines = refusals.iter();
    lines.map(|r| format!("{} {}", r.path, r.reason.code())).collect()
}

fn with_s2(number: u64, from: &str, to: &str) -> String {
    assert!(S2.contains(from), "fixture contains {from}");
    let server = S2.replacen(from, to, 1);
    format!("{{ \"ticket\": {number}, \"servers\": [{server}] }}")
}

#[test]
fn a_repeated_ticket_changes_nothing() {
    let state = first_state();
    let reformatted = FIRST.replace(',', " , // again\n");

    let outcome = submit(&state, &reformatted);

    assert_eq!(outcome, AcceptOutcome::AcceptedAlready { version: 1 });
}

#[test]
fn each_refusal_has_the_path_of_its_value() {
    let invalid = r#", "domains": [{ "name": "sierra-a", "region": "costa" }],
        "services": [{ "name": "stock", "slices": 128,
          "domains": ["oriente"], "regions": ["oriente"] }] }"#;
    let cases = [
        (FIRST.replace("weight\": 3", "weight\": 4"), "ticket number-reused"),
        (with_s2(9, "4", "4"), "servers[0].name number-too-low"),
        (with_s2(11, "\"stock", "\"spare"), "servers[0].name place-fixed"),
        (with_s2(11, "\"costa", "\"sierra"), "servers[0].name place-fixed"),
        (
            with_s2(11, "120", "3"),
            "servers[0].connections too-few-connections",
        ),
        (with_s2(11, "0.2:80", "0.1:80"), "servers[0].address address-taken"),
        ("{ \"ticket\": 11 }".to_owned(), "ticket empty"),
        (
            r#"{ "ticket": 11, "remove": { "domains": ["costa-a"] } }"#.into(),
            "remove.domains[0] still-used",
        ),
        (
            r#"{ "ticket": 11, "remove": { "callers": ["nobody"] } }"#.into(),
            "remove.callers[0] missing",
        ),
        (
            r#"{ "ticket": 11, "remove": { "servers": ["s1", "s2"] } }"#
                .into(),
            "remove.servers[0] no-capacity",
        ),
        (
            format!("{{ \"ticket\": 11{invalid}"),
            "domains[0].region region-fixed|services[0].slices slices-fixed|\
             services[0].domains[0] missing|\
             services[0].regions[0] empty-region|\
             services[0].name no-capacity",
        ),
        (
            format!("{{ \"ticket\": 11, \"servers\": [{S2}, {S2}] }}"),
            "servers[1].name touched-twice",
        ),
    ];
    for (text, expected) in cases {
        let found = refusals(&text).join("|");

        assert_eq!(found, expected, "{text}");
    }
}

#[test]
fn refusals_have_positions_in_the_text() {
    let text = "// swap\n{ \"ticket\": 10,\n  \"servers\": [\n".to_owned()
        + &S2.replace("\"stock\"", "\"stick\"")
        + "] }";
    let document = parse_ticket("t.jsonc", &text).expect("ticket parses");
    let state = DeploymentState::default();
    let AcceptOutcome::Refused(refusals) =
        accept_ticket(&state, &document.ticket)
    else {
        panic!("ticket was not refused");
    };

    let faults = document.locate(&refusals).to_string();

    insta::assert_snapshot!(faults, @"
    t.jsonc:4:28: servers[0].service: service/stick does not exist
    t.jsonc:4:47: servers[0].domain: domain/costa-a does not exist
    ");
}

#[test]
fn all_faults_of_a_malformed_ticket_are_reported() {
    let text = r#"{ "ticket": 0, "servers": [
  { "name": "s1", "slots": 0, "weight": 2, "address": "here" }],
  "services": [{ "name": "x", "slices": 100 }],
  "callers": { }, "remove": { "vms": [] } }"#;

    let faults = parse_ticket("t.jsonc", text).expect_err("text has faults");

    insta::assert_snapshot!(faults.to_string(), @"
    t.jsonc:1:13: ticket: 0 is not within 1 to 9007199254740991
    t.jsonc:2:3: servers[0]: the field `service` is missing
    t.jsonc:2:3: servers[0]: the field `domain` is missing
    t.jsonc:2:3: servers[0]: the field `connections` is missing
    t.jsonc:2:3: servers[0]: the field `checks_fence` is missing
    t.jsonc:2:28: servers[0].slots: 0 is not within 1 to 65536
    t.jsonc:2:31: servers[0].weight: unknown field; known are name, service, domain, address, slots, connections, checks_fence, drain
    t.jsonc:2:55: servers[0].address: invalid socket address syntax
    t.jsonc:3:41: services[0].slices: slices must be a power of two up to 65536
    t.jsonc:4:14: callers: must be a list
    t.jsonc:4:31: remove.vms: unknown field; known are domains, services, servers, callers
    ");
}

/// A ticket that was delayed in flight must not undo a later removal.
#[test]
fn an_old_ticket_does_not_restore_a_removed_server() {
    let remove = r#"{ "ticket": 12, "remove": { "servers": ["s2"] } }"#;
    let state = accepted(&first_state(), remove);

    let outcome = submit(&state, &with_s2(11, "4", "4"));

    let AcceptOutcome::Refused(refusals) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusals[0].reason.code(), "number-too-low");
}

#[test]
fn tickets_of_different_entities_may_arrive_out_of_order() {
    let caller = |number| {
        format!(
            "{{ \"ticket\": {number}, \"callers\": \
             [{{ \"name\": \"c{number}\", \"weight\": 2 }}] }}"
        )
    };
    let state = accepted(&first_state(), &caller(12));

    let state = accepted(&state, &caller(11));

    assert_eq!(state.version, 3);
}

#[test]
fn the_preview_reports_moves_and_remaining_capacity() {
    let before = first_state();
    let drain =
        with_s2(11, "\"checks_fence\"", "\"drain\":true,\"checks_fence\"");
    let after = accepted(&before, &drain);

    let preview = preview_ticket(&before, &after);

    assert_eq!(preview.services.len(), 1);
    assert_eq!(preview.services[0].slices_moved, 32);
    assert_eq!(preview.services[0].slices_between_domains, 32);
    assert_eq!(preview.domains[0].slots_after, 0);
    insta::assert_snapshot!(preview.warnings.join("\n"), @"
    costa-a is left without a slot
    stock goes from 8 to 4 slots
    stock stands in one failure domain only
    ");
}

/// Returns a ticket with `servers` servers in 10 failure domains.
fn ticket_with_servers(servers: usize) -> String {
    let mut text = "{ \"ticket\": 1, \"domains\": [".to_owned();
    for n in 0..10 {
        let comma = if n == 0 { "" } else { "," };
        write!(
            text,
            "{comma}{{\"name\":\"domain-{n}\",\"region\":\"r{}\"}}",
            n % 3
        )
        .expect("write to a string succeeds");
    }
    text.push_str(
        "], \"services\": [{\"name\":\"stock-lookup\"}], \"servers\": [",
    );
    for n in 0..servers {
        let comma = if n == 0 { "" } else { "," };
        let (domain, high, low) = (n % 10, n / 250, n % 250);
        write!(
            text,
            "{comma}{{\"name\":\"stock-lookup-{n}\",\
             \"service\":\"stock-lookup\",\"domain\":\"domain-{domain}\",\
             \"address\":\"10.200.{high}.{low}:9000\",\"slots\":4,\
             \"connections\":120,\"checks_fence\":false}}"
        )
        .expect("write to a string succeeds");
    }
    text + "] }"
}

#[test]
fn the_servers_of_640_nodes_fit_the_store() {
    // At today's ratio of 37 servers to 11 VMs, 640 VMs serve some 2,200
    // servers.
    let state =
        accepted(&DeploymentState::default(), &ticket_with_servers(2_200));

    let text = serde_json::to_vec(&state).expect("state encodes as JSON");

    assert!(text.len() < MAX_STATE_BYTES / 2, "{} bytes", text.len());
    let decoded: DeploymentState =
        serde_json::from_slice(&text).expect("state decodes");
    assert_eq!(decoded, state);
}

#[test]
fn twice_the_servers_of_640_nodes_are_accepted() {
    let state =
        accepted(&DeploymentState::default(), &ticket_with_servers(4_500));

    let text = serde_json::to_vec(&state).expect("state encodes as JSON");

    assert!(text.len() <= MAX_STATE_BYTES, "{} bytes", text.len());
}

#[test]
fn a_state_that_exceeds_the_store_is_refused_with_its_size() {
    let outcome =
        submit(&DeploymentState::default(), &ticket_with_servers(6_000));

    let AcceptOutcome::Refused(refusals) = outcome else {
        panic!("ticket was not refused");
    };
    let RefusalReason::TooLarge { bytes, limit } = refusals[0].reason else {
        panic!("{refusals:?}");
    };
    assert!(bytes > limit);
    assert_eq!(limit, MAX_STATE_BYTES);
}
