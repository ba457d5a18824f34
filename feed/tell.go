package feed

import (
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

// handleNotice answers a request with what the requester lacks: changes of its version, or the newest version whole if that is not kept here.
func (replicator *Replicator) handleNotice(notice VersionNotice) []contract.Command {
	delivery := Delivery{}
	if replicator.HasVersion() && notice.Position.Revision < replicator.version.Position.Revision {
		base, found := replicator.versionAt(notice.Position)
		large := replicator.version.Document().Size() >= minCompressSize
		switch {
		case !found && large && notice.NoticeIfLarge:
			return []contract.Command{contract.Send{To: notice.From, Kind: MessageNotice, Body: replicator.notice()}}
		case !found && !large:
			delivery.Records = []contract.Record{replicator.version.FullRecord()}
		default:
			replicator.fillDelivery(&delivery, base)
		}
	}
	if replicator.view.Number > notice.View {
		view := replicator.view
		delivery.View = &view
	}
	if len(delivery.Records) == 0 && len(delivery.Packed) == 0 && delivery.View == nil {
		return nil
	}
	return []contract.Command{contract.Send{To: notice.From, Kind: MessageDelivery, Body: delivery}}
}

// recordsSince returns all versions after a base, each as a change of the one before, or only the newest one if there are many.
func (replicator *Replicator) recordsSince(base contract.Version) []contract.Record {
	if base.Position.Revision == 0 {
		return []contract.Record{replicator.version.FullRecord()}
	}
	versions := replicator.versionsFrom(base.Position.Revision + 1)
	if len(versions) <= maxChanges {
		if records := contract.EncodeRecords(base, versions, contract.MaxRecordBytes); len(records) == len(versions) {
			return records
		}
	}
	return []contract.Record{replicator.version.RecordRelativeTo(base)}
}

// fillDelivery puts the versions after a base into a delivery, or the newest version whole if there is no base; large records are packed.
func (replicator *Replicator) fillDelivery(delivery *Delivery, base contract.Version) {
	if replicator.compressedPosition != replicator.version.Position {
		replicator.compressedRecords, replicator.compressedPosition = map[contract.Position][]byte{}, replicator.version.Position
	}
	if packed, found := replicator.compressedRecords[base.Position]; found {
		delivery.Packed, delivery.PackedOf = packed, replicator.version.Position
		return
	}
	records, size := replicator.recordsSince(base), 0
	for _, record := range records {
		size += record.Size()
	}
	if size < minCompressSize {
		delivery.Records = records
		return
	}
	packed := compress(records)
	if len(replicator.compressedRecords) < maxPackedBases {
		replicator.compressedRecords[base.Position] = packed
	}
	delivery.Packed, delivery.PackedOf = packed, replicator.version.Position
}

// historyFor returns the kept versions from a revision on.
func (replicator *Replicator) historyFor(historyRequest HistoryRequest) HistoryReply {
	versions := replicator.versionsFrom(historyRequest.From)
	base, _ := replicator.versionAt(historyRequest.Base)
	return HistoryReply{Records: contract.EncodeRecords(base, versions[:min(len(versions), maxChanges)], contract.MaxRecordBytes)}
}

// versionsFrom returns the kept versions from a revision on, in ascending order.
func (replicator *Replicator) versionsFrom(revision int64) []contract.Version {
	versions := []contract.Version{}
	for _, version := range replicator.history {
		if version.Position.Revision >= revision {
			versions = append(versions, version)
		}
	}
	slices.SortFunc(versions, func(left, right contract.Version) int { return left.Position.Compare(right.Position) })
	return versions
}
