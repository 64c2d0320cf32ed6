//! Parses JSON with comments. Errors give the line, and the column or key.

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Why a text could not be parsed.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The text is not valid JSON with comments.
    #[snafu(display("{origin}:{line}:{column}: {message}"))]
    Syntax {
        /// The file.
        origin: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Description of the syntax error.
        message: String,
    },
    /// The JSON does not match the expected type.
    #[snafu(display("{origin}:{line}: `{key}`: {source}"))]
    Shape {
        /// The file.
        origin: String,
        /// Line of the key, from 1.
        line: usize,
        /// Path of the key.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
}

/// Parses a text into a value; `origin` names the text in errors.
pub fn parse<T: DeserializeOwned>(origin: &str, text: &str) -> Result<T, JsonError> {
    let parsed =
        jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default());
    let value = match parsed {
        Ok(value) => value,
        Err(e) => {
            return SyntaxSnafu {
                origin,
                line: e.line_display(),
                column: e.column_display(),
                message: e.kind().to_string(),
            }
            .fail();
        }
    };
    serde_path_to_error::deserialize(value).map_err(|e| shape_error(origin, text, e))
}

/// Adds the key's path and line to a type error. The line is the first that contains the key.
fn shape_error(
    origin: &str,
    text: &str,
    error: serde_path_to_error::Error<serde_json::Error>,
) -> JsonError {
    let path = error.path().to_string();
    let source = error.into_inner();
    let message_text = source.to_string();
    let unknown_field = message_text
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let name = unknown_field
        .or(path.rsplit('.').next())
        .unwrap_or_default();
    let quoted_name = format!("\"{name}\"");
    let line = text.lines().position(|l| l.contains(&quoted_name));
    JsonError::Shape {
        origin: origin.to_owned(),
        line: line.map_or(1, |l| l + 1),
        key: path,
        source,
    }
}
