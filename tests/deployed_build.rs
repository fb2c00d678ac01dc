//! Tests what the build command of `deploy/system.toml` compiles.

use std::collections::BTreeSet;
use std::process::Command;

use serde_json::Value;

/// The platforms of the entry hosts.
const TARGETS: [&str; 2] = ["x86_64-unknown-linux-gnu", "aarch64-unknown-linux-gnu"];
/// The crates that run a compiler for C or assembler.
const FOREIGN_COMPILERS: [&str; 2] = ["cc", "cmake"];

/// The packages that the linker needs on a clean machine. `gcc` only recommends the second one, which
/// holds the start files of programs.
const LINKER_PACKAGES: [&str; 2] = ["gcc", "libc6-dev"];

/// Runs cargo in the repository and returns its output.
fn cargo(args: &[&str]) -> String {
    let out = Command::new(env!("CARGO"))
        .args(args)
        .args(["--locked", "--offline"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("cargo starts");
    let message = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "cargo {args:?} failed: {message}");
    String::from_utf8(out.stdout).expect("cargo writes text")
}

fn deploy() -> toml::Table {
    let text = include_str!("../deploy/system.toml");
    text.parse().expect("the deploy file is TOML")
}

/// Returns the flags of the build command that choose the package and its features.
fn selection(deploy: &toml::Table) -> Vec<&str> {
    let mut words = deploy["build"].as_str().expect("a command").split(' ');
    assert_eq!(words.next(), Some("cargo"));
    assert_eq!(words.next(), Some("build"));
    let mut chosen = Vec::new();
    while let Some(word) = words.next() {
        match word {
            "--release" | "--locked" => {}
            "--no-default-features" => chosen.push(word),
            "--package" | "--features" => {
                chosen.extend([word, words.next().expect("a flag's value")]);
            }
            "--bin" => assert_eq!(words.next(), Some("pistachioyard")),
            other => panic!("the build command has an unknown flag {other}"),
        }
    }
    chosen
}

/// Returns the name and version of each crate that the build command compiles for a target.
fn compiled_crates(selection: &[&str], target: &str) -> BTreeSet<(String, String)> {
    let mut args = vec!["tree", "--edges", "normal,build", "--prefix", "none"];
    args.extend(["--format", "{p}", "--target", target]);
    args.extend(selection);
    let tree = cargo(&args);
    let split = |line: &str| {
        let mut words = line.split(' ');
        let (name, version) = (words.next()?, words.next()?);
        Some((name.to_owned(), version.trim_start_matches('v').to_owned()))
    };
    tree.lines().filter_map(split).collect()
}

/// Returns whether a crate of `cargo metadata` links a foreign library or compiles one.
fn has_foreign_code(package: &Value) -> bool {
    let dependencies = package["dependencies"].as_array().expect("a list");
    let compiles = dependencies.iter().any(|dependency| {
        let name = dependency["name"].as_str().expect("a name");
        dependency["kind"] == "build" && FOREIGN_COMPILERS.contains(&name)
    });
    compiles || !package["links"].is_null()
}

#[test]
fn the_deployed_program_compiles_no_c_or_assembler() {
    let deploy = deploy();
    let selection = selection(&deploy);
    for target in TARGETS {
        let compiled = compiled_crates(&selection, target);
        let metadata = cargo(&[
            "metadata",
            "--format-version=1",
            "--filter-platform",
            target,
        ]);
        let metadata: Value = serde_json::from_str(&metadata).expect("metadata is JSON");
        let foreign: Vec<&str> = metadata["packages"]
            .as_array()
            .expect("a list")
            .iter()
            .filter(|package| has_foreign_code(package))
            .filter_map(|package| {
                let (name, version) = (package["name"].as_str()?, package["version"].as_str()?);
                compiled
                    .contains(&(name.to_owned(), version.to_owned()))
                    .then_some(name)
            })
            .collect();
        assert!(compiled.len() > 1, "cargo lists no crates for {target}");
        assert!(foreign.is_empty(), "{target} compiles {foreign:?}");
    }
}

/// Guards against a build that fails where recommended packages are not installed.
#[test]
fn the_deploy_file_names_the_packages_of_the_linker() {
    let deploy = deploy();
    let packages = deploy["packages"].as_array().expect("a list");
    for needed in LINKER_PACKAGES {
        let is_named = packages.iter().any(|name| name.as_str() == Some(needed));
        assert!(is_named, "{needed} is not named");
    }
}
