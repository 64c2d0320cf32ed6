//! Errors of the commands and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use snafu::Snafu;
use trestleknot_lib::config_document::DocumentError;
use trestleknot_lib::settings::SettingsError;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

/// Exit code for an invalid file or argument.
pub const BAD_INPUT: u8 = 2;
/// Exit code for a change that was not applied because another change came first.
pub const LOST_RACE: u8 = 3;
/// Exit code for a change that may or may not have been applied.
pub const UNKNOWN_OUTCOME: u8 = 4;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The settings were rejected.
    #[snafu(transparent)]
    Settings {
        /// Position and cause.
        source: SettingsError,
    },
    /// The platform's settings were rejected.
    #[snafu(transparent)]
    PlatformSettings {
        /// Position and cause.
        source: platform::settings::SettingsError,
    },
    /// The configuration was rejected.
    #[snafu(transparent)]
    Document {
        /// Position and cause.
        source: DocumentError,
    },
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// An operating system call failed.
    #[snafu(display("{what}: {source}"))]
    System {
        /// The failed operation.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A server gave no usable answer.
    #[snafu(display("{url}: {cause}"))]
    NoAnswer {
        /// URL of the request.
        url: String,
        cause: String,
    },
    /// A change was not applied.
    #[snafu(display("{message}"))]
    NotApplied {
        /// Outcome of the change.
        message: String,
        /// Exit code.
        code: u8,
    },
}

impl CliError {
    /// Returns the exit code for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings { .. }
            | Self::PlatformSettings { .. }
            | Self::Document { .. }
            | Self::ReadFile { .. } => ExitCode::from(BAD_INPUT),
            Self::NotApplied { code, .. } => ExitCode::from(*code),
            Self::System { .. } | Self::NoAnswer { .. } => ExitCode::FAILURE,
        }
    }
}
