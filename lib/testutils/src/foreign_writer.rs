//! What a foreign writer leaves: reports about targets that can't be read, that name an incarnation
//! that never existed or that state odd numbers, and odd records in the store.

use platform::stand_in_format;
use trestleknot_lib::run_message::TargetInfo;

/// A report of the foreign writer.
#[derive(Debug)]
pub struct ForeignReport {
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether it can be parsed. Unreadable reports must not be acknowledged.
    pub is_readable: bool,
}

/// The foreign report of round `turn`, sent along with the target's own report `sequence`.
pub fn foreign_report(turn: u64, info: &TargetInfo, sequence: u64) -> ForeignReport {
    // Far ahead: if the agent accepted it, the target's own reports would count as outdated.
    let ahead = sequence + 1_000_000;
    let mut forged = info.clone();
    forged.leaving = true;
    let path = stand_in_format::report_path(&info.life.name);
    let body = stand_in_format::encode_report(&forged, ahead);
    let unreadable = |text: String| ForeignReport {
        path: path.clone(),
        body: text.into_bytes(),
        is_readable: false,
    };
    match turn % 12 {
        0 => unreadable(body.replace("\"draining\"", "\"retired\"")),
        1 => unreadable(body.replace("\"capacity\"", "\"size\"")),
        2 => unreadable(body.replace("\"slots\":8", "\"slots\":\"eight\"")),
        3 => unreadable(body[..body.len() / 2].to_owned()),
        4 => unreadable(stand_in_format::without_clock(&body)),
        5 => unreadable(stand_in_format::with_clock_as_text(&body)),
        6 => unreadable(body.replace("\"slots\":8", &format!("\"slots\":{}", nested()))),
        7 => unreadable(body.replace("\"slots\":8", "\"slots\":1e999")),
        8 => unreadable(body.replace("127.0.0.1:1", "127.0.0.1:99999")),
        // At the top of its range: no report of the target could ever exceed it.
        9 => ForeignReport {
            path,
            body: stand_in_format::encode_report(&forged, u64::MAX).into_bytes(),
            is_readable: true,
        },
        10 => ForeignReport {
            path: stand_in_format::report_path("stranger"),
            body: body.into_bytes(),
            is_readable: true,
        },
        _ => {
            forged.life.born = Some(turn);
            ForeignReport {
                path,
                body: stand_in_format::encode_report(&forged, ahead).into_bytes(),
                is_readable: true,
            }
        }
    }
}

/// A JSON value that is nested too deeply for a decoder that recurses.
fn nested() -> String {
    format!("{}{}", "[".repeat(50_000), "]".repeat(50_000))
}

/// Records of a foreign writer in the store, as raw JSON: alone, as a value and as a key.
pub fn odd_records() -> Vec<String> {
    let odd = [
        nested(),
        "1e999".to_owned(),
        "9".repeat(5_000),
        "\"\\ud800\"".to_owned(),
    ];
    let records = odd.iter().flat_map(|odd| {
        [
            odd.clone(),
            format!(r#"{{"key":"odd","value":{odd},"offset":{odd}}}"#),
            format!(r#"{{"key":{odd},"value":"AA=="}}"#),
        ]
    });
    records.collect()
}
