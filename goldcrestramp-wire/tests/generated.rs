//! The committed code equals the code generated from the protocol file.
//!
//! `GOLDCRESTRAMP_REGENERATE=1 cargo test -p goldcrestramp-wire` updates it.

use std::{env, fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto/peer.proto");
    let files = protox::compile([&proto], [root.join("proto")])
        .expect("protocol file compiles");
    let scratch = env::temp_dir()
        .join(format!("goldcrestramp-generated-{}", std::process::id()));
    fs::create_dir_all(&scratch).expect("scratch folder is created");

    tonic_prost_build::configure()
        .out_dir(&scratch)
        .build_transport(true)
        .bytes(".")
        .emit_rerun_if_changed(false)
        .compile_fds(files)
        .expect("code is generated");
    let generated =
        fs::read_to_string(scratch.join("goldcrestramp.peer.v1.rs"))
            .expect("generated file is readable");
    fs::remove_dir_all(&scratch).expect("scratch folder is removed");

    let committed = root.join("src/generated.rs");
    if env::var_os("GOLDCRESTRAMP_REGENERATE").is_some() {
        fs::write(&committed, &generated).expect("file is written");
    }
    let current =
        fs::read_to_string(&committed).expect("committed file is readable");
    assert!(current == generated, "src/generated.rs is out of date");
}
