//! `check`: whether a file is valid.

use super::cli_error::CliError;
use crate::config::operator_file::OperatorFile;
use crate::config::platform_file::PlatformConfig;
use std::path::Path;

/// Checks a platform's file (.json) or an operator's.
///
/// # Errors
/// What is wrong with it.
pub(super) fn check(file: &Path) -> Result<(), CliError> {
    if file.extension().is_some_and(|extension| extension == "json") {
        PlatformConfig::check(file)?;
    } else {
        OperatorFile::read(file)?;
    }
    println!("{} is as it should be", file.display());
    Ok(())
}
