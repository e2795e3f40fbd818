//! Change tickets: acceptance, every refusal at its place, the preview.

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

fn judge(state: &DeploymentState, text: &str) -> AcceptOutcome {
    let document = parse_ticket("t.jsonc", text).expect("a ticket");
    accept_ticket(state, &document.ticket)
}

fn accepted(state: &DeploymentState, text: &str) -> DeploymentState {
    match judge(state, text) {
        AcceptOutcome::Accepted(next) => *next,
        other => panic!("{other:?}"),
    }
}

fn first_state() -> DeploymentState {
    accepted(&DeploymentState::default(), FIRST)
}

/// The refusals as `path code`, in order.
fn refusals(text: &str) -> Vec<String> {
    let AcceptOutcome::Refused(refusals) = judge(&first_state(), text) else {
        panic!("{text} is refused");
    };
    let lines = refusals.iter();
    lines.map(|r| format!("{} {}", r.path, r.reason.code())).collect()
}

fn with_s2(number: u64, from: &str, to: &str) -> String {
    assert!(S2.contains(from), "{from} stands in the fixture");
    let server = S2.replacen(from, to, 1);
    format!("{{ \"ticket\": {number}, \"servers\": [{server}] }}")
}

#[test]
fn the_same_ticket_again_changes_nothing() {
    let state = first_state();
    let spaced = FIRST.replace(',', " , // again\n");

    let outcome = judge(&state, &spaced);

    assert_eq!(outcome, AcceptOutcome::AcceptedAlready { version: 1 });
}

#[test]
fn each_refusal_names_its_value() {
    let more = r#", "domains": [{ "name": "sierra-a", "region": "costa" }],
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
            format!("{{ \"ticket\": 11{more}"),
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
fn refusals_are_placed_in_the_text() {
    let text = "// swap\n{ \"ticket\": 10,\n  \"servers\": [\n".to_owned()
        + &S2.replace("\"stock\"", "\"stick\"")
        + "] }";
    let document = parse_ticket("t.jsonc", &text).expect("a ticket");
    let state = DeploymentState::default();
    let AcceptOutcome::Refused(refusals) =
        accept_ticket(&state, &document.ticket)
    else {
        panic!("refused");
    };

    let faults = document.locate(&refusals).to_string();

    insta::assert_snapshot!(faults, @"
    t.jsonc:4:28: servers[0].service: service/stick does not exist
    t.jsonc:4:47: servers[0].domain: domain/costa-a does not exist
    ");
}

#[test]
fn a_malformed_ticket_is_refused_with_all_its_faults() {
    let text = r#"{ "ticket": 0, "servers": [
  { "name": "s1", "slots": 0, "weight": 2, "address": "here" }],
  "services": [{ "name": "x", "slices": 100 }],
  "callers": { }, "remove": { "vms": [] } }"#;

    let faults = parse_ticket("t.jsonc", text).expect_err("faults");

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

#[test]
fn a_removed_server_does_not_come_back_by_an_old_ticket() {
    let remove = r#"{ "ticket": 12, "remove": { "servers": ["s2"] } }"#;
    let state = accepted(&first_state(), remove);

    let outcome = judge(&state, &with_s2(11, "4", "4"));

    let AcceptOutcome::Refused(refusals) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusals[0].reason.code(), "number-too-low");
}

#[test]
fn tickets_of_different_things_need_no_common_order() {
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
fn the_preview_tells_what_moves_and_what_is_left() {
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

/// `servers` servers on 10 failure domains, as one ticket.
fn fleet(servers: usize) -> String {
    let mut text = "{ \"ticket\": 1, \"domains\": [".to_owned();
    for n in 0..10 {
        let comma = if n == 0 { "" } else { "," };
        write!(
            text,
            "{comma}{{\"name\":\"domain-{n}\",\"region\":\"r{}\"}}",
            n % 3
        )
        .expect("a text");
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
        .expect("a text");
    }
    text + "] }"
}

#[test]
fn the_servers_of_640_nodes_fit_the_store() {
    // 37 servers on 11 VMs today: 640 VMs stand before some 2,200 servers.
    let state = accepted(&DeploymentState::default(), &fleet(2_200));

    let text = serde_json::to_vec(&state).expect("JSON");

    assert!(text.len() < MAX_STATE_BYTES / 2, "{} bytes", text.len());
    let back: DeploymentState = serde_json::from_slice(&text).expect("back");
    assert_eq!(back, state);
}

#[test]
fn twice_that_many_servers_are_still_accepted() {
    let state = accepted(&DeploymentState::default(), &fleet(4_500));

    let text = serde_json::to_vec(&state).expect("JSON");

    assert!(text.len() <= MAX_STATE_BYTES, "{} bytes", text.len());
}

#[test]
fn what_does_not_fit_the_store_is_refused_with_its_size() {
    let outcome = judge(&DeploymentState::default(), &fleet(6_000));

    let AcceptOutcome::Refused(refusals) = outcome else {
        panic!("refused");
    };
    let RefusalReason::TooLarge { bytes, limit } = refusals[0].reason else {
        panic!("{refusals:?}");
    };
    assert!(bytes > limit);
    assert_eq!(limit, MAX_STATE_BYTES);
}
