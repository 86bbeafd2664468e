//! The audit collection: the activity records of all members, bounded in size, as one document with
//! a digest.

use heathroad_lease::MemberId;
use heathroad_membership::activity_record::RecordSnapshot;
use heathroad_membership::version::Digest;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest record of one member, in bytes of JSON. Its oldest intervals are dropped first.
pub(super) const MAX_RECORD_BYTES: usize = 32 * 1024;
/// Longest document, in bytes of JSON. Intervals of the longest record are dropped first.
pub(super) const MAX_DOCUMENT_BYTES: usize = 384 * 1024;
/// One part in so many of the longest record is dropped at once. Dropping single intervals would
/// encode the document hundreds of times.
const DROPPED_FRACTION: usize = 4;

/// The record of a member, as it was collected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CollectedRecord {
    /// The member that collected it.
    pub by: MemberId,
    /// When it was collected, in Unix milliseconds by the collector's clock.
    #[serde(rename = "at")]
    pub collected_at: u64,
    /// What to add to the record's times to convert them to the collector's clock.
    #[serde(rename = "off")]
    pub clock_offset: i64,
    /// The uncertainty of that, in milliseconds.
    #[serde(rename = "error")]
    pub clock_error: u64,
    /// The record.
    #[serde(rename = "told")]
    pub record: RecordSnapshot,
}

/// The collected records by member.
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

    /// Adds a record, unless a later one of that member is there.
    ///
    /// A member's own clock says which is later: how two collectors' clocks compare is not known.
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

    /// Encodes the records, and drops the oldest of them where they exceed the bound.
    pub(super) fn encode_within_bound(&mut self) -> Vec<u8> {
        loop {
            let bytes = serde_json::to_vec(self).unwrap_or_default();
            if bytes.len() <= MAX_DOCUMENT_BYTES || self.0.is_empty() {
                return bytes;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let records = self.0.values_mut().map(|collected| &mut collected.record);
        let Some(longest) = records.max_by_key(|record| record.intervals.len()) else {
            return;
        };
        for _ in 0..longest.intervals.len().div_ceil(DROPPED_FRACTION) {
            longest.discard_oldest();
        }
        if longest.intervals.len() <= 1 {
            // Records of one interval each are still too many.
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

/// The records, and the document that was last made of them.
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

/// What this proxy has of the audit collection, as collector or as a mirror.
pub struct AuditCollection {
    contents: RefCell<Contents>,
}

impl AuditCollection {
    /// Creates a collection from a stored document. One that cannot be decoded counts as none.
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

    /// Returns the document with this digest; any document, if the digest is the default one.
    pub(super) fn document(&self, digest: Digest) -> Option<Vec<u8>> {
        let contents = self.contents.borrow();
        let is_wanted = digest == Digest::default() || digest == contents.digest;
        (is_wanted && !contents.records.0.is_empty()).then(|| contents.document.to_vec())
    }

    /// Returns the document, for the store.
    pub(super) fn document_to_store(&self) -> Vec<u8> {
        self.contents.borrow().document.to_vec()
    }

    /// Returns the digest of the document.
    pub(super) fn digest(&self) -> Digest {
        self.contents.borrow().digest
    }

    /// Makes the document of the present records and returns its digest.
    pub(super) fn update_document(&self) -> Digest {
        self.contents.borrow_mut().update_document()
    }

    pub(super) fn insert(&self, member: MemberId, collected: CollectedRecord) {
        self.contents.borrow_mut().records.insert(member, collected);
    }

    /// Adds the records of another collection's document, and returns whether it could be decoded.
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
