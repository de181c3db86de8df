//! Stand-ins and scripts of the review: `standin CASE FOLDER` runs a case and writes
//! FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With TROUBLE=0 the disruption is left out.

#![allow(dead_code)]

mod client;
mod fleet;
mod gateway;
mod http;
mod json;
mod left;
mod crashed;
mod promised;
mod store;
mod upstream;
mod withdrawn;

use std::path::{Path, PathBuf};

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let root: PathBuf = std::env::current_dir().expect("a working folder");
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "left" => left::run(&root, folder, trouble),
        "withdrawn" => withdrawn::run(&root, folder, trouble),
        "crashed" => crashed::run(&root, folder, trouble),
        "promised" => promised::run(&root, folder, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
