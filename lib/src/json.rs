//! JSON with comments, with errors that name the place.

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

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
    serde_json::from_value(value).map_err(|source| shape_error(origin, text, source))
}

/// Finds the line of the key that a shape error speaks of.
fn shape_error(origin: &str, text: &str, source: serde_json::Error) -> JsonError {
    let message = source.to_string();
    let key = message.split('`').nth(1).unwrap_or("document").to_owned();
    let quoted = format!("\"{key}\"");
    let line = text.lines().position(|l| l.contains(&quoted));
    let result: Result<(), _> = Err(source);
    let context = ShapeSnafu {
        origin,
        line: line.map_or(1, |l| l + 1),
        key,
    };
    match result.context(context) {
        Ok(()) => unreachable!("the result is an error"),
        Err(e) => e,
    }
}
