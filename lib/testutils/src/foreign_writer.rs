//! Reports of a foreign writer about targets: unreadable ones, and ones that name an incarnation
//! that never existed.

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
    match turn % 6 {
        0 => unreadable(body.replace("\"draining\"", "\"retired\"")),
        1 => unreadable(body.replace("\"capacity\"", "\"size\"")),
        2 => unreadable(body.replace("\"slots\":8", "\"slots\":\"eight\"")),
        3 => unreadable(body[..body.len() / 2].to_owned()),
        4 => ForeignReport {
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
