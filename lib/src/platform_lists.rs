//! Decodes the lists of the platform's services. Each record is decoded by itself, because one that
//! another writer left in an unknown format must not hide the others.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::config_chain::{LogBatch, LogOffset, StoredRecord};
use crate::vm_list::{VmName, VmRecord, VmRole, VmState};

/// A decoded list and the causes why records of it can't be read.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The list without unreadable records.
    pub list: T,
    /// One cause for each unreadable record.
    pub unreadable: Vec<String>,
}

/// The part of a VM's record that identifies it.
#[derive(Debug, Deserialize)]
struct VmIdentity {
    name: VmName,
}

/// The part of a log record that places it.
#[derive(Debug, Deserialize)]
struct RecordPlace {
    offset: LogOffset,
}

/// A batch whose records are not decoded yet.
#[derive(Debug, Deserialize)]
struct RawLogBatch<'a> {
    from: LogOffset,
    oldest: LogOffset,
    #[serde(borrow)]
    records: Vec<&'a RawValue>,
    next: LogOffset,
    end: LogOffset,
}

/// Decodes the VM list. An unreadable record with a name still shows that this VM exists: without
/// it, the VM would count as gone.
pub fn decode_vm_list(body: &[u8]) -> Result<Decoded<Vec<VmRecord>>, serde_json::Error> {
    // Raw JSON must be valid UTF-8. A byte that is not would otherwise fail the list.
    let text = String::from_utf8_lossy(body);
    let records: Vec<&RawValue> = serde_json::from_str(&text)?;
    let mut unreadable = Vec::new();
    let mut list = Vec::with_capacity(records.len());
    for raw in records {
        match decode_record::<VmRecord>(raw) {
            Ok(vm) => list.push(vm),
            Err(cause) => {
                unreadable.push(cause);
                let named = decode_record::<VmIdentity>(raw).ok();
                list.extend(named.map(|vm| unknown_vm(vm.name)));
            }
        }
    }
    Ok(Decoded { list, unreadable })
}

fn unknown_vm(name: VmName) -> VmRecord {
    VmRecord {
        name,
        role: VmRole::Unknown,
        state: VmState::Live,
        agent_address: None,
    }
}

/// Decodes a batch of log records. An unreadable record counts as one that is not trestleknot's.
pub fn decode_log_batch(body: &[u8]) -> Result<Decoded<LogBatch>, serde_json::Error> {
    let text = String::from_utf8_lossy(body);
    let batch: RawLogBatch<'_> = serde_json::from_str(&text)?;
    let mut unreadable = Vec::new();
    let mut records = Vec::with_capacity(batch.records.len());
    for raw in batch.records {
        match decode_record::<StoredRecord>(raw) {
            Ok(record) => records.push(record),
            Err(cause) => {
                unreadable.push(cause);
                let place = decode_record::<RecordPlace>(raw).ok();
                records.extend(place.map(|place| StoredRecord {
                    offset: place.offset,
                    record: None,
                }));
            }
        }
    }
    let list = LogBatch {
        from: batch.from,
        oldest: batch.oldest,
        records,
        next: batch.next,
        end: batch.end,
    };
    Ok(Decoded { list, unreadable })
}

fn decode_record<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Result<T, String> {
    // A list would be read as the fields in order.
    if !raw.get().starts_with('{') {
        return Err("not an object".to_owned());
    }
    serde_json::from_str(raw.get()).map_err(|e| e.to_string())
}
