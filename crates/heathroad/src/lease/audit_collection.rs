//! The audit collection: the activity records of all members in one document of bounded size, which
//! is identified by its digest.

use heathroad_lease::MemberId;
use heathroad_membership::activity_record::RecordSnapshot;
use heathroad_membership::version::Digest;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum size of one member's record, in bytes of JSON. Its oldest intervals are discarded first.
pub(super) const MAX_RECORD_BYTES: usize = 32 * 1024;
/// Maximum size of the document, in bytes of JSON. Intervals of the longest record are discarded
/// first.
pub(super) const MAX_DOCUMENT_BYTES: usize = 384 * 1024;
/// The fraction of the longest record (1/4) that is discarded at once. Discarding single intervals
/// would encode the document hundreds of times.
const DROP_DIVISOR: usize = 4;

/// A collected record of a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CollectedRecord {
    /// The member that collected the record.
    pub by: MemberId,
    /// When it was collected, in Unix milliseconds by the collector's clock.
    #[serde(rename = "at")]
    pub collected_at: u64,
    /// Offset in milliseconds that converts the record's times to the collector's clock.
    #[serde(rename = "off")]
    pub clock_offset: i64,
    /// The uncertainty of the offset, in milliseconds.
    #[serde(rename = "error")]
    pub clock_error: u64,
    /// The record.
    #[serde(rename = "told")]
    pub record: RecordSnapshot,
}

/// The collected records of all members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CollectedRecords(BTreeMap<MemberId, CollectedRecord>);

pub(super) fn encoded_length(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

impl CollectedRecords {
    /// Returns the record of a member.
    pub fn get(&self, member: MemberId) -> Option<&CollectedRecord> {
        self.0.get(&member)
    }

    /// Adds a record, unless the collection has a later one of the same member.
    ///
    /// Records are compared by the member's own clock, because the clocks of collectors may differ.
    pub(super) fn insert(&mut self, member: MemberId, mut collected: CollectedRecord) {
        let known = self.0.get(&member);
        if known.is_some_and(|known| known.record.at > collected.record.at) {
            return;
        }
        while encoded_length(&collected.record) > MAX_RECORD_BYTES
            && collected.record.discard_oldest()
        {}
        self.0.insert(member, collected);
    }

    fn merge(&mut self, other: CollectedRecords) {
        for (member, collected) in other.0 {
            self.insert(member, collected);
        }
    }

    /// Encodes the records. Discards old intervals and records that exceed [`MAX_DOCUMENT_BYTES`].
    pub(super) fn encode_within_bound(&mut self) -> Vec<u8> {
        loop {
            let bytes = serde_json::to_vec(self).unwrap_or_default();
            if bytes.len() <= MAX_DOCUMENT_BYTES || self.0.is_empty() {
                return bytes;
            }
            self.discard_oldest_records();
        }
    }

    fn discard_oldest_records(&mut self) {
        let records = self.0.values_mut().map(|collected| &mut collected.record);
        let Some(longest) = records.max_by_key(|record| record.intervals.len()) else {
            return;
        };
        for _ in 0..longest.intervals.len().div_ceil(DROP_DIVISOR) {
            longest.discard_oldest();
        }
        if longest.intervals.len() <= 1 {
            // Each record is down to one interval: a whole record is removed.
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, collected)| collected.collected_at);
            if let Some(member) = oldest.map(|(member, _)| *member) {
                self.0.remove(&member);
            }
        }
    }
}

/// The records, and the document that was last encoded from them.
#[derive(Default)]
struct Contents {
    records: CollectedRecords,
    document: Rc<[u8]>,
    digest: Digest,
}

impl Contents {
    fn update_document(&mut self) -> Digest {
        let document = self.records.encode_within_bound();
        self.digest = Digest::of(&document);
        self.document = Rc::from(document);
        self.digest
    }
}

/// This proxy's copy of the audit collection, as collector or as a mirror.
pub struct AuditCollection {
    contents: RefCell<Contents>,
}

impl AuditCollection {
    /// Creates a collection from a stored document. A document that cannot be decoded is ignored.
    pub(super) fn from_stored(document: Option<&[u8]>) -> AuditCollection {
        let records = document.and_then(|document| serde_json::from_slice(document).ok());
        let mut contents = Contents {
            records: records.unwrap_or_default(),
            ..Contents::default()
        };
        contents.update_document();
        AuditCollection {
            contents: RefCell::new(contents),
        }
    }

    /// Returns all records.
    pub(super) fn records(&self) -> CollectedRecords {
        self.contents.borrow().records.clone()
    }

    /// Returns the document if it has this digest, or if the digest is the default one.
    pub(super) fn document(&self, digest: Digest) -> Option<Vec<u8>> {
        let contents = self.contents.borrow();
        let is_match = digest == Digest::default() || digest == contents.digest;
        (is_match && !contents.records.0.is_empty()).then(|| contents.document.to_vec())
    }

    /// Returns the document to be written to the store.
    pub(super) fn document_to_store(&self) -> Vec<u8> {
        self.contents.borrow().document.to_vec()
    }

    /// Returns the digest of the document.
    pub(super) fn digest(&self) -> Digest {
        self.contents.borrow().digest
    }

    /// Encodes the document from the current records and returns its digest.
    pub(super) fn update_document(&self) -> Digest {
        self.contents.borrow_mut().update_document()
    }

    pub(super) fn insert(&self, member: MemberId, collected: CollectedRecord) {
        self.contents.borrow_mut().records.insert(member, collected);
    }

    /// Merges the records of another document. Returns false if it cannot be decoded.
    pub(super) fn merge_document(&self, document: &[u8]) -> bool {
        let Ok(records) = serde_json::from_slice(document) else {
            return false;
        };
        self.contents.borrow_mut().records.merge(records);
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/audit_collection.rs"]
mod tests;
