//! Checks and compares configurations of the operators' platform.

use std::fmt::Display;
use std::path::Path;

use pistachioyard_platform::{DecodedConfig, decode_config_parts};
use pistachioyard_policy::{ConfigParts, Severity, check_config, compare_configs};

use super::file::{FileError, read_json};
use super::{ExitStatus, Output, output};

/// The number of findings or differences that are printed.
const MAX_LINES: usize = 200;

/// Says which findings make a configuration invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strictness {
    /// Errors only.
    Errors,
    /// Warnings as well.
    Warnings,
}

/// Prints what is wrong with a configuration.
pub(crate) fn check(file: &Path, strictness: Strictness) -> ExitStatus {
    let DecodedConfig { parts, faults } = match read(file) {
        Ok(decoded) => decoded,
        Err(e) => return output::print_errors(&[e]),
    };
    let findings = parts.as_ref().map(check_config).unwrap_or_default();
    let (errors, warnings): (Vec<_>, Vec<_>) = findings
        .iter()
        .partition(|finding| finding.severity() == Severity::Error);
    let errors = faults
        .iter()
        .map(|fault| fault as &dyn Display)
        .chain(errors.into_iter().map(|finding| finding as &dyn Display));
    let errors: Vec<_> = errors.collect();
    for (severity, lines) in [
        (Severity::Error, errors.clone()),
        (
            Severity::Warning,
            warnings.iter().map(|w| *w as &dyn Display).collect(),
        ),
    ] {
        for line in lines.iter().take(MAX_LINES) {
            output::print_message(severity, line);
        }
        print_rest(lines.len());
    }
    let (error_count, warning_count) = (errors.len(), warnings.len());
    if error_count > 0 || (strictness == Strictness::Warnings && warning_count > 0) {
        eprintln!("{error_count} error(s), {warning_count} warning(s); nothing was changed");
        return ExitStatus::BadInput;
    }
    output::print_valid(file)
}

/// Prints how a configuration differs from the one in force.
pub(crate) fn diff(file: &Path, in_force: &Path, format: Output) -> ExitStatus {
    let read = |file| read_whole(file).inspect_err(|_| output::print_source(file));
    let (new, old) = match read(file).and_then(|new| Ok((new, read(in_force)?))) {
        Ok(read) => read,
        Err(status) => return status,
    };
    let changes = compare_configs(&old, &new);
    let lines = changes.iter().take(MAX_LINES).map(ToString::to_string);
    let version = format!("version {}", old.version);
    output::print_differences(Some(&version), &lines.collect::<Vec<_>>(), format);
    print_rest(changes.len());
    if new.version <= old.version && !changes.is_empty() {
        eprintln!(
            "error: version {} is not above {}, so it would not come into force",
            new.version, old.version
        );
        return ExitStatus::BadInput;
    }
    ExitStatus::Done
}

fn read(file: &Path) -> Result<DecodedConfig, FileError> {
    Ok(decode_config_parts(&read_json(file)?))
}

/// Reads a configuration; prints why if a part of it cannot be decoded.
fn read_whole(file: &Path) -> Result<ConfigParts, ExitStatus> {
    let decoded = read(file).map_err(|e| output::print_errors(&[e]))?;
    match decoded.parts {
        Some(parts) if decoded.faults.is_empty() => Ok(parts),
        _ => {
            let faults = &decoded.faults[..decoded.faults.len().min(MAX_LINES)];
            print_rest(decoded.faults.len());
            Err(output::print_errors(faults))
        }
    }
}

fn print_rest(count: usize) {
    if count > MAX_LINES {
        eprintln!("and {} more", count - MAX_LINES);
    }
}
