//! JSON with comments, with errors that name the place.

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Why a text is not what was expected.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// Not JSON with comments.
    #[snafu(display("{origin}:{line}:{column}: {message}"))]
    Syntax {
        /// The file.
        origin: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong there.
        message: String,
    },
    /// JSON, but not of the expected shape.
    #[snafu(display("{origin}:{line}: `{key}`: {source}"))]
    Shape {
        /// The file.
        origin: String,
        /// Line of the key, from 1.
        line: usize,
        /// The key.
        key: String,
        /// What was expected.
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

/// Names the key that a shape error speaks of, and the line where it stands.
fn shape_error(
    origin: &str,
    text: &str,
    error: serde_path_to_error::Error<serde_json::Error>,
) -> JsonError {
    let path = error.path().to_string();
    let source = error.into_inner();
    let in_message = source.to_string();
    let unknown = in_message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let name = unknown.or(path.rsplit('.').next()).unwrap_or_default();
    let quoted = format!("\"{name}\"");
    let line = text.lines().position(|l| l.contains(&quoted));
    JsonError::Shape {
        origin: origin.to_owned(),
        line: line.map_or(1, |l| l + 1),
        key: path,
        source,
    }
}
