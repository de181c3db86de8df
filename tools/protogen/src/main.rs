//! Generates the Rust code in `crates/agatehold-wire/src/generated` from the protobuf
//! definitions in `proto`.
//!
//! Run from the root of the repository:
//! `cargo run --manifest-path tools/protogen/Cargo.toml`.

use std::error::Error;

const PROTO_DIR: &str = "proto";
const OUT_DIR: &str = "crates/agatehold-wire/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["peers.proto"], [PROTO_DIR])?;
    std::fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .build_transport(false)
        .compile_fds(files)?;
    Ok(())
}
