//! Application of a change to the tree: all of its edits or none.

use base::DomainId;
use base::Findings;
use base::Millis;
use base::OrgId;
use base::Shape;

use crate::tree::change::ChangedValue;
use crate::tree::change::Edit;
use crate::tree::change::OpId;
use crate::tree::change::Operator;
use crate::tree::change::Record;
use crate::tree::key::Key;
use crate::tree::place::Place;
use crate::tree::value::Guarantee;
use crate::tree::value::Value;
use crate::tree::Tree;

/// Largest number of edits in one change.
pub const MAX_EDITS: usize = 256;
/// Largest number of organisations.
pub const MAX_ORGS: usize = 1024;
/// Largest number of places with values of their own.
pub const MAX_PLACES: usize = 8192;

/// Key under which the history records that an organisation was added or removed.
const ORG_ITEM: &str = "org";

/// A change requested by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Operation id; a resend carries the same one.
    pub op: OpId,
    /// Operator who requested the change.
    pub who: Operator,
    /// Time of the request by the clock of the daemon that processes it.
    pub when: Millis,
    /// Edits, applied in order.
    pub edits: Vec<Edit>,
}

impl Tree {
    /// Returns the tree after the change, one revision higher, or all findings. Findings
    /// name an edit by its index, such as `edits[2]`.
    pub fn apply(&self, change: &Change) -> Result<Tree, Findings> {
        let mut findings = Findings::new();
        if change.edits.is_empty() || change.edits.len() > MAX_EDITS {
            let problem = format!("{} edits", change.edits.len());
            findings.add("edits", problem, format!("send 1 to {MAX_EDITS}"));
            return Err(findings);
        }
        let mut next = self.clone();
        let mut items = Vec::new();
        for (i, edit) in change.edits.iter().enumerate() {
            let location = format!("edits[{i}]");
            next.apply_edit(edit, &mut items, &location, &mut findings);
        }
        next.check_bounds(&mut findings);
        next.record_change(change, items);
        next.check_size(&mut findings);
        findings.into_result(next)
    }

    fn apply_edit(
        &mut self,
        edit: &Edit,
        items: &mut Vec<ChangedValue>,
        location: &str,
        findings: &mut Findings,
    ) {
        match edit {
            Edit::AddOrg { org } => self.add_org(org, items, location, findings),
            Edit::RemoveOrg { org } => self.remove_org(org, items, location, findings),
            Edit::Set { at, key, value } => {
                if let Some(key) = self.check_at(at, key, location, findings) {
                    key.kind().check(value, location, findings);
                    items.push(self.put(at, key, Some(value.clone())));
                }
            }
            Edit::Unset { at, key } => {
                if let Some(key) = self.check_at(at, key, location, findings) {
                    items.push(self.put(at, key, None));
                }
            }
            Edit::AddShape {
                org,
                domain,
                shape,
                count,
            } => {
                let at = Place::org_domain(org, domain);
                let mut list = self.guarantees_of(org, domain);
                match list.iter_mut().find(|h| h.shape == *shape) {
                    Some(guarantee) => guarantee.count = guarantee.count.saturating_add(*count),
                    None => list.push(Guarantee {
                        shape: *shape,
                        count: *count,
                    }),
                }
                self.put_shapes(&at, list, items, location, findings);
            }
            Edit::RemoveShape {
                org,
                domain,
                shape,
                count,
            } => {
                let at = Place::org_domain(org, domain);
                let mut list = self.guarantees_of(org, domain);
                remove_copies(&mut list, shape, *count, location, findings);
                self.put_shapes(&at, list, items, location, findings);
            }
        }
    }

    fn add_org(
        &mut self,
        org: &OrgId,
        items: &mut Vec<ChangedValue>,
        location: &str,
        findings: &mut Findings,
    ) {
        if !self.orgs.insert(org.clone()) {
            let problem = format!("organisation {org} exists");
            findings.add(location, problem, "use another name");
        }
        items.push(org_item(org, None, Some(Value::Flag(true))));
    }

    fn remove_org(
        &mut self,
        org: &OrgId,
        items: &mut Vec<ChangedValue>,
        location: &str,
        findings: &mut Findings,
    ) {
        if !self.orgs.remove(org) {
            findings.add(
                location,
                unknown_org(org),
                "list them with tackctl org list",
            );
        }
        let places = self.values.keys().filter(|p| p.org_id() == Some(org));
        for place in places.cloned().collect::<Vec<_>>() {
            for (key, value) in self.values.remove(&place).unwrap_or_default() {
                items.push(ChangedValue {
                    at: place.clone(),
                    key: key.to_string(),
                    old: Some(value),
                    new: None,
                });
            }
        }
        self.remove_unrecognised(org);
        items.push(org_item(org, Some(Value::Flag(true)), None));
    }

    fn remove_unrecognised(&mut self, org: &OrgId) {
        let of_org = |text: &str| {
            let place = text.parse::<Place>();
            place.is_ok_and(|p| p.org_id() == Some(org))
        };
        self.unrecognised.retain(|text, _| !of_org(text));
    }

    fn put_shapes(
        &mut self,
        at: &Place,
        list: Vec<Guarantee>,
        items: &mut Vec<ChangedValue>,
        location: &str,
        findings: &mut Findings,
    ) {
        self.check_org(at, location, findings);
        let value = Value::Shapes(list);
        Key::Guarantees.kind().check(&value, location, findings);
        let new = (value != Key::Guarantees.default_value()).then_some(value);
        items.push(self.put(at, Key::Guarantees, new));
    }

    fn put(&mut self, at: &Place, key: Key, new: Option<Value>) -> ChangedValue {
        let values = self.values.entry(at.clone()).or_default();
        let old = match &new {
            Some(value) => values.insert(key, value.clone()),
            None => values.remove(&key),
        };
        if values.is_empty() {
            self.values.remove(at);
        }
        ChangedValue {
            at: at.clone(),
            key: key.to_string(),
            old,
            new,
        }
    }

    /// Checks that the setting exists, that it may be set at the place and that the place's
    /// organisation exists.
    fn check_at(
        &self,
        at: &Place,
        key: &str,
        location: &str,
        findings: &mut Findings,
    ) -> Option<Key> {
        self.check_org(at, location, findings);
        let Ok(key) = key.parse::<Key>() else {
            let remedy = format!("use one of {}", setting_names());
            findings.add(location, format!("unknown setting {key:?}"), remedy);
            return None;
        };
        let levels = key.levels();
        if !at.level().is_some_and(|l| levels.contains(&l)) {
            let allowed: Vec<String> = levels.iter().map(|l| l.to_string()).collect();
            let remedy = format!("its levels are: {}", allowed.join(", "));
            findings.add(location, format!("{key} cannot be set at {at}"), remedy);
            return None;
        }
        Some(key)
    }

    fn check_org(&self, at: &Place, location: &str, findings: &mut Findings) {
        if let Some(org) = at.org_id().filter(|o| !self.orgs.contains(*o)) {
            findings.add(location, unknown_org(org), "add it first");
        }
    }

    fn check_bounds(&self, findings: &mut Findings) {
        let mut check_max = |what: &str, count: usize, max: usize| {
            if count > max {
                let problem = format!("{count} {what}");
                findings.add("edits", problem, format!("keep at most {max}"));
            }
        };
        check_max("organisations", self.orgs.len(), MAX_ORGS);
        check_max("places with values", self.values.len(), MAX_PLACES);
    }

    fn record_change(&mut self, change: &Change, items: Vec<ChangedValue>) {
        self.revision = self.revision.next();
        self.ops.push((change.op.clone(), self.revision));
        self.history.push(Record {
            op: change.op.clone(),
            who: change.who.clone(),
            when: change.when,
            revision: self.revision,
            items,
        });
        self.trim();
    }
}

fn remove_copies(
    list: &mut Vec<Guarantee>,
    shape: &Shape,
    count: u32,
    location: &str,
    findings: &mut Findings,
) {
    let guarantee = list.iter_mut().find(|h| h.shape == *shape);
    match guarantee {
        Some(guarantee) if guarantee.count >= count => guarantee.count -= count,
        Some(guarantee) => {
            let problem = format!("only {} copies are held", guarantee.count);
            findings.add(location, problem, "remove at most as many");
        }
        None => {
            let remedy = "list them with tackctl shape list";
            findings.add(location, "no such shape is held", remedy);
        }
    }
    list.retain(|h| h.count > 0);
}

impl Tree {
    fn guarantees_of(&self, org: &OrgId, domain: &DomainId) -> Vec<Guarantee> {
        let at = Place::org_domain(org, domain);
        match self.values.get(&at).and_then(|v| v.get(&Key::Guarantees)) {
            Some(Value::Shapes(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn org_item(org: &OrgId, old: Option<Value>, new: Option<Value>) -> ChangedValue {
    ChangedValue {
        at: Place::org(org),
        key: ORG_ITEM.to_string(),
        old,
        new,
    }
}

fn unknown_org(org: &OrgId) -> String {
    format!("there is no organisation {org}")
}

fn setting_names() -> String {
    let names: Vec<&str> = Key::ALL.iter().map(|k| k.name()).collect();
    names.join(", ")
}
