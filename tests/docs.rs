//! Checks that the documentation agrees with itself and with the code.

use std::collections::BTreeSet;
use std::path::{Component, Path, PathBuf};

use clap::Parser;
use pistachioyard_wire::ProblemKind;

/// The folders that contain no sources of the project.
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "node_modules"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Collects the files below a folder that have the given extension.
fn files(folder: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder can be read").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() && !SKIPPED_FOLDERS.contains(&name.as_ref()) {
            files(&path, extension, found);
        } else if path.extension().is_some_and(|e| e == extension) {
            found.push(path);
        }
    }
}

/// Reads all files of the repository that have the given extension.
fn read_files(extension: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    files(root(), extension, &mut found);
    found
        .into_iter()
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("the file is text");
            (path, text)
        })
        .collect()
}

/// Resolves a relative link of a page; returns `None` if it leads out of the repository.
fn resolve(page: &Path, target: &str) -> Option<PathBuf> {
    let path = page.parent()?.join(target);
    let mut resolved = PathBuf::new();
    for part in path.components() {
        if part == Component::ParentDir {
            resolved.pop();
        } else {
            resolved.push(part);
        }
    }
    resolved.starts_with(root()).then_some(resolved)
}

#[test]
fn every_relative_link_of_a_page_leads_to_a_file() {
    let mut broken = Vec::new();
    for (page, text) in read_files("md") {
        for rest in text.split("](").skip(1) {
            let target = rest.split(')').next().unwrap_or_default();
            let target = target.split('#').next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let exists = resolve(&page, target).is_some_and(|path| path.exists());
            if !exists {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Finds the paths below `docs/` that a text mentions.
fn mentioned_pages(text: &str) -> BTreeSet<String> {
    let is_path_end = |c: char| !(c.is_ascii_alphanumeric() || "/._-".contains(c));
    text.match_indices("docs/")
        .filter(|(at, _)| !text[..*at].ends_with(|c: char| c.is_ascii_alphanumeric()))
        .map(|(at, _)| text[at..].split(is_path_end).next().unwrap_or_default())
        .map(|path| path.trim_end_matches(['.', '/']).to_owned())
        .filter(|path| path != "docs")
        .collect()
}

#[test]
fn every_page_that_the_code_or_another_page_mentions_exists() {
    let mut missing = Vec::new();
    for (file, text) in read_files("rs").into_iter().chain(read_files("md")) {
        for path in mentioned_pages(&text) {
            if !root().join(&path).exists() {
                missing.push(format!("{}: {path}", file.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// Finds the prefixes of all log lines in the daemon's sources.
fn log_prefixes() -> BTreeSet<String> {
    let mut found = Vec::new();
    files(&root().join("src"), "rs", &mut found);
    let mut prefixes = BTreeSet::new();
    for path in found {
        let text = std::fs::read_to_string(path).expect("the file is text");
        for level in ["error", "warn", "info", "debug", "trace"] {
            for rest in text.split(&format!("spdlog::{level}!(")).skip(1) {
                let line = rest.trim_start().trim_start_matches('"');
                let (prefix, _) = line.split_once(": ").expect("each line has a prefix");
                prefixes.insert(prefix.to_owned());
            }
        }
    }
    prefixes
}

/// Finds the first cells of a page's table rows, if they are formatted as code.
fn first_cells(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split_once('`'))
        .map(|(cell, _)| cell.trim_end_matches(':').to_owned())
        .collect()
}

#[test]
fn the_logs_page_lists_every_prefix() {
    let listed = first_cells(include_str!("../docs/operators/logs.md"));
    let missing: Vec<_> = log_prefixes().difference(&listed).cloned().collect();
    assert!(missing.is_empty(), "not in logs.md: {missing:?}");
}

#[test]
fn the_outcomes_page_lists_every_problem_kind() {
    let page = include_str!("../docs/design/outcomes.md");
    for kind in ProblemKind::ALL {
        let name = format!("`{}`", kind.as_str());
        assert!(page.contains(&name), "{name} is not in outcomes.md");
    }
}

/// Finds the commands in a page's shell blocks that run the program.
fn commands(page: &str) -> Vec<Vec<String>> {
    let blocks = page.split("```sh\n").skip(1);
    let lines = blocks.flat_map(|block| block.split("```").next().unwrap_or_default().lines());
    lines
        .map(|line| line.split('#').next().unwrap_or_default().trim())
        .filter(|line| line.starts_with("pistachioyard "))
        .map(|line| line.split_whitespace().map(str::to_owned).collect())
        .collect()
}

#[test]
fn the_program_accepts_every_command_on_the_operators_pages() {
    let mut pages = Vec::new();
    files(&root().join("docs/operators"), "md", &mut pages);
    let mut count = 0;
    for page in pages {
        let text = std::fs::read_to_string(&page).expect("the page is text");
        for command in commands(&text) {
            let parsed = pistachioyard::Cli::try_parse_from(&command);
            assert!(parsed.is_ok(), "{}: {command:?}", page.display());
            count += 1;
        }
    }
    assert!(count >= 10, "only {count} commands were found");
}
