package feed

import (
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

// deliver answers a request with what the requester lacks: changes of its version, or the newest version whole if that is not kept here.
func (owner *Owner) deliver(notice VersionNotice) []contract.Command {
	delivery := Delivery{}
	if owner.Known() && notice.Position.Revision < owner.version.Position.Revision {
		base, found := owner.versionAt(notice.Position)
		large := owner.version.Document().Size() >= minCompressSize
		switch {
		case !found && large && notice.NoticeIfLarge:
			return []contract.Command{contract.Send{To: notice.From, Kind: MessageNotice, Body: owner.notice()}}
		case !found && !large:
			delivery.Records = []contract.Record{owner.version.FullRecord()}
		default:
			owner.fillDelivery(&delivery, base)
		}
	}
	if owner.view.Number > notice.View {
		view := owner.view
		delivery.View = &view
	}
	if len(delivery.Records) == 0 && len(delivery.Packed) == 0 && delivery.View == nil {
		return nil
	}
	return []contract.Command{contract.Send{To: notice.From, Kind: MessageDelivery, Body: delivery}}
}

// recordsSince returns all versions after a base, each as a change of the one before, or only the newest one if there are many.
func (owner *Owner) recordsSince(base contract.Version) []contract.Record {
	if base.Position.Revision == 0 {
		return []contract.Record{owner.version.FullRecord()}
	}
	versions := owner.versionsFrom(base.Position.Revision + 1)
	if len(versions) <= maxChanges {
		if records := contract.EncodeRecords(base, versions, contract.MaxRecordBytes); len(records) == len(versions) {
			return records
		}
	}
	return []contract.Record{owner.version.RecordRelativeTo(base)}
}

// fillDelivery puts the versions after a base into a delivery, or the newest version whole if there is no base; large records are packed.
func (owner *Owner) fillDelivery(delivery *Delivery, base contract.Version) {
	if owner.packedOf != owner.version.Position {
		owner.packed, owner.packedOf = map[contract.Position][]byte{}, owner.version.Position
	}
	if packed, found := owner.packed[base.Position]; found {
		delivery.Packed, delivery.PackedOf = packed, owner.version.Position
		return
	}
	records, size := owner.recordsSince(base), 0
	for _, record := range records {
		size += record.Size()
	}
	if size < minCompressSize {
		delivery.Records = records
		return
	}
	packed := compress(records)
	if len(owner.packed) < maxPackedBases {
		owner.packed[base.Position] = packed
	}
	delivery.Packed, delivery.PackedOf = packed, owner.version.Position
}

// historyFor returns the kept versions from a revision on.
func (owner *Owner) historyFor(historyRequest HistoryRequest) HistoryReply {
	versions := owner.versionsFrom(historyRequest.From)
	base, _ := owner.versionAt(historyRequest.Base)
	return HistoryReply{Records: contract.EncodeRecords(base, versions[:min(len(versions), maxChanges)], contract.MaxRecordBytes)}
}

// versionsFrom returns the kept versions from a revision on, in ascending order.
func (owner *Owner) versionsFrom(revision int64) []contract.Version {
	versions := []contract.Version{}
	for _, version := range owner.history {
		if version.Position.Revision >= revision {
			versions = append(versions, version)
		}
	}
	slices.SortFunc(versions, func(left, right contract.Version) int { return left.Position.Compare(right.Position) })
	return versions
}
