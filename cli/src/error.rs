//! Errors of the command line and the exit codes that they lead to.

use std::path::PathBuf;
use std::process::ExitCode;

use snafu::Snafu;
use trestleknot_lib::config_document::DocumentError;
use trestleknot_lib::settings::SettingsError;

/// What a command comes to.
pub type CliResult<T> = Result<T, CliError>;

/// Exit code for a file or argument that is wrong.
pub const BAD_INPUT: u8 = 2;
/// Exit code for a change that lost its race.
pub const LOST_RACE: u8 = 3;
/// Exit code for an outcome that is not known.
pub const UNKNOWN: u8 = 4;

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// Settings were not accepted.
    #[snafu(transparent)]
    Settings {
        /// Place and cause.
        source: SettingsError,
    },
    /// The platform's settings were not accepted.
    #[snafu(transparent)]
    PlatformSettings {
        /// Place and cause.
        source: platform::settings::SettingsError,
    },
    /// A configuration was not accepted.
    #[snafu(transparent)]
    Document {
        /// Place and cause.
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
    /// A thread, socket or signal can't be had.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A server gave no usable answer.
    #[snafu(display("{url}: {cause}"))]
    NoAnswer {
        /// The server.
        url: String,
        /// What happened.
        cause: String,
    },
    /// A change was not applied.
    #[snafu(display("{message}"))]
    NotApplied {
        /// What became of it.
        message: String,
        /// Exit code.
        code: u8,
    },
}

impl CliError {
    /// The exit code for this error.
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
