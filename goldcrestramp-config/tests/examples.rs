//! The files in `examples/` parse and contain the expected deployments.

use std::path::PathBuf;

use goldcrestramp_config::{
    AcceptOutcome, DeploymentState, ExampleDeployment, accept_ticket,
    parse_example, read_example, read_settings, read_ticket,
};
use goldcrestramp_types::ServiceName;

fn example_file(name: &str) -> PathBuf {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    package.join("../examples").join(name)
}

fn example(name: &str) -> ExampleDeployment {
    read_example(&example_file(name)).expect("deployment parses")
}

fn state_of(example: &ExampleDeployment) -> DeploymentState {
    let empty = DeploymentState::default();
    match accept_ticket(&empty, &example.ticket) {
        AcceptOutcome::Accepted(state) => *state,
        other => panic!("{other:?}"),
    }
}

/// Returns the number of servers of each service, in the order of the
/// services.
fn server_counts(example: &ExampleDeployment) -> Vec<usize> {
    let servers = &example.ticket.servers;
    let services = example.ticket.services.iter();
    let of = |name: &ServiceName| {
        servers.iter().filter(|s| s.service == *name).count()
    };
    services.map(|service| of(&service.name)).collect()
}

#[test]
fn the_settings_of_all_node_kinds_parse() {
    for name in ["node-single.jsonc", "node-entry.jsonc"] {
        let settings = read_settings(&example_file(name));

        assert_eq!(settings.map(|_| ()), Ok(()), "{name}");
    }
}

#[test]
fn the_deployments_have_the_expected_sizes() {
    let cases = [
        ("tiendalista.jsonc", vec![18, 10, 8], 11, 4),
        ("ferraris.jsonc", vec![20, 11, 8], 10, 2),
    ];
    for (name, servers, vms, slots) in cases {
        let example = example(name);

        assert_eq!(server_counts(&example), servers, "{name}");
        assert_eq!(example.vms.len(), vms, "{name}");
        assert_eq!(example.ticket.domains.len(), 4, "{name}");
        assert!(example.ticket.servers.iter().all(|s| s.slots == slots));
        assert_eq!(example.traffic.len(), 3, "{name}");
    }
}

#[test]
fn the_example_tickets_apply_to_the_example_deployment() {
    let mut state = state_of(&example("tiendalista.jsonc"));
    for name in ["ticket-drain.jsonc", "ticket-domain-lost.jsonc"] {
        let document =
            read_ticket(&example_file(name)).expect("ticket parses");

        let outcome = accept_ticket(&state, &document.ticket);

        let AcceptOutcome::Accepted(next) = outcome else {
            panic!("{name}: {outcome:?}");
        };
        state = *next;
    }
    assert_eq!(state.version, 3);
}

#[test]
fn all_faults_of_a_deployment_are_reported() {
    let file = example_file("ferraris.jsonc");
    let text = std::fs::read_to_string(file).expect("file is readable");
    let text = text
        .replace("\"store_region\": \"piemonte\"", "\"store_region\": \"x\"")
        .replace("\"vm-torino-a-2\"", "\"vm-torino-a-1\"")
        .replace("\"downloads\", \"class\"", "\"uploads\", \"class\"");

    let faults = parse_example("f.jsonc", &text).expect_err("text has faults");

    let paths: Vec<_> = faults.faults().iter().map(|f| &*f.path).collect();
    assert_eq!(paths, ["store_region", "vms[1].name", "traffic[2].service"]);
}
