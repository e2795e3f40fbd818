//! The committed code equals what the protocol file generates.
//!
//! `GOLDCRESTRAMP_REGENERATE=1 cargo test -p goldcrestramp-wire` writes it.

use std::{env, fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto/peer.proto");
    let files = protox::compile([&proto], [root.join("proto")])
        .expect("the protocol file compiles");
    let scratch = env::temp_dir()
        .join(format!("goldcrestramp-generated-{}", std::process::id()));
    fs::create_dir_all(&scratch).expect("a scratch folder can be made");

    tonic_prost_build::configure()
        .out_dir(&scratch)
        .build_transport(true)
        .bytes(".")
        .emit_rerun_if_changed(false)
        .compile_fds(files)
        .expect("the code can be generated");
    let generated =
        fs::read_to_string(scratch.join("goldcrestramp.peer.v1.rs"))
            .expect("the generator writes one file");
    fs::remove_dir_all(&scratch).expect("the scratch folder can go");

    let committed = root.join("src/generated.rs");
    if env::var_os("GOLDCRESTRAMP_REGENERATE").is_some() {
        fs::write(&committed, &generated).expect("the file can be written");
    }
    let present = fs::read_to_string(&committed).expect("it is committed");
    assert!(present == generated, "src/generated.rs is out of date");
}
