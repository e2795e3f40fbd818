//! Any text parses or is rejected with positioned faults, without a panic.

use std::path::PathBuf;

use goldcrestramp_config::{
    FaultList, parse_example, parse_settings, parse_ticket,
};
use proptest::{
    prelude::*,
    sample::Index,
    test_runner::{RngAlgorithm, RngSeed},
};

/// One edit of a text: its index, the characters to remove and the text to
/// insert.
type TextEdit = (Index, usize, String);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_500,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn example(name: &str) -> String {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let file = package.join("../examples").join(name);
    std::fs::read_to_string(file).expect("example is readable")
}

fn edits() -> impl Strategy<Value = Vec<TextEdit>> {
    let inserted =
        "[\\[\\]{}\",:/*\\\\]|-?[0-9]{1,21}|null|\"[a-z]{0,9}\"|\n|é";
    prop::collection::vec((any::<Index>(), 0_usize..9, inserted), 1..5)
}

fn edited(text: &str, edits: Vec<TextEdit>) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for (index, removed, inserted) in edits {
        let from = index.index(chars.len() + 1);
        let to = chars.len().min(from + removed);
        chars.splice(from..to, inserted.chars());
    }
    chars.into_iter().collect()
}

/// Checks that every fault has a position in the text and a message.
fn check_faults(text: &str, faults: &FaultList) {
    assert!(!faults.is_empty(), "rejected without a fault");
    let lines = text.split('\n').count();
    for fault in faults.faults() {
        let line = fault.position.line;
        assert!((1..=lines).contains(&line), "{fault}: of {lines} lines");
        assert!(fault.position.column >= 1, "{fault}");
        assert!(!fault.message.is_empty(), "{fault}");
    }
}

fn check_all(text: &str) {
    let settings = parse_settings("a file", text).map(|_| ());
    let ticket = parse_ticket("a file", text).map(|_| ());
    let example = parse_example("a file", text).map(|_| ());
    for result in [settings, ticket, example] {
        if let Err(faults) = result {
            check_faults(text, &faults);
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_parses_or_is_rejected(text in "\\PC{0,200}|[\\[{\",:0-9}\\]]{0,90}") {
        check_all(&text);
    }

    #[test]
    fn edited_settings_parse_or_are_rejected(edits in edits()) {
        check_all(&edited(&example("node-entry.jsonc"), edits));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..config() })]

    #[test]
    fn an_edited_deployment_parses_or_is_rejected(edits in edits()) {
        check_all(&edited(&example("tiendalista.jsonc"), edits));
    }
}
