//! Plays one trial: the project's daemons among small stand-ins of the
//! platform, of servers and of clients.
//!
//! It exits with 1 if the trial's rule was broken, 0 if it held, and 2 if the
//! trial could not be played.

mod base64;
mod client;
mod daemon;
mod early;
mod http;
mod json;
mod memory;
mod record;
mod server;
mod silence;
mod socket;
mod store;

use std::{path::PathBuf, process::ExitCode};

use crate::{
    daemon::{Places, find_root},
    record::Record,
};

/// What a trial showed.
pub enum Verdict {
    Broken(String),
    Held(String),
}

type TrialResult = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    match play() {
        Ok(Verdict::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Ok(Verdict::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play() -> TrialResult {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path), Some(scratch)) =
        (words.next(), words.next(), words.next())
    else {
        return Err("usage: review-trial CASE RECORD SCRATCH".into());
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = find_root().ok_or("run it inside the repository")?;
    let places = Places { root, scratch: PathBuf::from(scratch) };
    let record = Record::open(&PathBuf::from(path))?;
    let played = match case.as_str() {
        "memory" => memory::play(&record, &places, has_trouble),
        "silence" => silence::play(&record, &places, has_trouble),
        "early" => early::play(&record, &places, has_trouble),
        _ => Err("unknown case".into()),
    };
    match &played {
        Ok(Verdict::Broken(text)) => record.line(format!("BROKEN: {text}")),
        Ok(Verdict::Held(text)) => record.line(format!("HELD: {text}")),
        Err(error) => record.line(format!("COULD NOT RUN: {error}")),
    }
    played
}

/// The operator's configuration: short orders go to `service`, long ones to the
/// service `orders`.
fn configuration(version: u32, service: &str) -> String {
    let route = |path: &str, service: &str| {
        format!(
            r#"{{"host":"shop.example","path_prefix":"{path}","kind":"unsafe",
            "timeout":"5000ms","target_latency":"1000ms","priority":1,
            "service":"{service}","max_attempts":2}}"#
        )
    };
    let shape = r#"{"health_path":"/health","max_conns":120,
        "protocol":"h1","tls":false}"#;
    format!(
        r#"{{"version":{version},"routes":{{"short":{},"long":{}}},
        "services":{{"orders":{shape},"renewals":{shape}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,
        "header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        route("/short/", service),
        route("/long/", "orders")
    )
}
