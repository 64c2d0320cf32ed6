//! A writer that speaks of targets and is none of them: its reports can't be read, or name a life
//! that never was.

use platform::stand_in_format;
use trestleknot_lib::run_message::TargetInfo;

/// A report of the other writer.
#[derive(Debug)]
pub struct ForeignReport {
    /// Where it goes.
    pub path: String,
    /// What it says.
    pub body: Vec<u8>,
    /// Whether a reader can make sense of it. What can't be read must not be acknowledged.
    pub is_readable: bool,
}

/// The report that comes at its `turn` beside one of the target's own with this number.
pub fn strange_report(turn: u64, info: &TargetInfo, sequence: u64) -> ForeignReport {
    // Far ahead: taken for the target's, it would make its own reports pass for late ones.
    let ahead = sequence + 1_000_000;
    let mut spoken_of = info.clone();
    spoken_of.leaving = true;
    let path = stand_in_format::report_path(&info.life.name);
    let own = stand_in_format::encode_report(&spoken_of, ahead);
    let unreadable = |body: String| ForeignReport {
        path: path.clone(),
        body: body.into_bytes(),
        is_readable: false,
    };
    match turn % 6 {
        0 => unreadable(own.replace("\"draining\"", "\"retired\"")),
        1 => unreadable(own.replace("\"capacity\"", "\"size\"")),
        2 => unreadable(own.replace("\"slots\":8", "\"slots\":\"eight\"")),
        3 => unreadable(own[..own.len() / 2].to_owned()),
        4 => ForeignReport {
            path: stand_in_format::report_path("stranger"),
            body: own.into_bytes(),
            is_readable: true,
        },
        _ => {
            spoken_of.life.born = Some(turn);
            ForeignReport {
                path,
                body: stand_in_format::encode_report(&spoken_of, ahead).into_bytes(),
                is_readable: true,
            }
        }
    }
}
