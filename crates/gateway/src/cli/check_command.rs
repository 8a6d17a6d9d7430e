//! The subcommand `check`: whether a file is valid.

use super::cli_error::CliError;
use crate::config::operator_file::OperatorFile;
use crate::config::platform_file::PlatformConfig;
use std::path::Path;

/// Checks a platform's file (.json) or an operator's file (any other extension), and prints that it is valid.
///
/// # Errors
/// If the file cannot be read or is not valid.
pub(super) fn check(file: &Path) -> Result<(), CliError> {
    if file.extension().is_some_and(|extension| extension == "json") {
        PlatformConfig::check(file)?;
    } else {
        OperatorFile::read(file)?;
    }
    println!("{} is valid", file.display());
    Ok(())
}
