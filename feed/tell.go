package feed

import (
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

// tell gives what the asker has not: changes of the version that it holds, or the newest version whole where that one is not kept here.
func (owner *Owner) tell(news News) []contract.Command {
	delivery := Delivery{}
	if owner.Known() && news.Place.Revision < owner.version.Position.Revision {
		base, there := owner.at(news.Place)
		large := owner.version.Document().Size() >= compressFrom
		switch {
		case !there && large && news.Brief:
			return []contract.Command{contract.Send{To: news.From, Kind: MessageNews, Body: owner.news()}}
		case !there && !large:
			delivery.Records = []contract.Record{owner.version.FullRecord()}
		default:
			owner.fill(&delivery, base)
		}
	}
	if owner.view.Number > news.View {
		view := owner.view
		delivery.View = &view
	}
	if len(delivery.Records) == 0 && len(delivery.Packed) == 0 && delivery.View == nil {
		return nil
	}
	return []contract.Command{contract.Send{To: news.From, Kind: MessageChange, Body: delivery}}
}

// since gives all versions after one, each as the change of the one before it, or only the newest one where they are many.
func (owner *Owner) since(base contract.Version) []contract.Record {
	if base.Position.Revision == 0 {
		return []contract.Record{owner.version.FullRecord()}
	}
	versions := owner.from(base.Position.Revision + 1)
	if len(versions) <= mostChanges {
		if records := contract.EncodeRecords(base, versions, contract.MaxRecordBytes); len(records) == len(versions) {
			return records
		}
	}
	return []contract.Record{owner.version.RecordRelativeTo(base)}
}

// fill puts what follows a version into a delivery, or the newest version whole where there is none; large records are packed.
func (owner *Owner) fill(delivery *Delivery, base contract.Version) {
	if owner.packedOf != owner.version.Position {
		owner.packed, owner.packedOf = map[contract.Position][]byte{}, owner.version.Position
	}
	if packed, there := owner.packed[base.Position]; there {
		delivery.Packed, delivery.PackedOf = packed, owner.version.Position
		return
	}
	records, size := owner.since(base), 0
	for _, record := range records {
		size += record.Size()
	}
	if size < compressFrom {
		delivery.Records = records
		return
	}
	packed := compress(records)
	if len(owner.packed) < packedMost {
		owner.packed[base.Position] = packed
	}
	delivery.Packed, delivery.PackedOf = packed, owner.version.Position
}

// hand gives versions from a revision on.
func (owner *Owner) hand(lack Lack) Kept {
	versions := owner.from(lack.From)
	base, _ := owner.at(lack.Base)
	return Kept{Records: contract.EncodeRecords(base, versions[:min(len(versions), mostChanges)], contract.MaxRecordBytes)}
}

// from gives the kept versions from a revision on, in order.
func (owner *Owner) from(revision int64) []contract.Version {
	versions := []contract.Version{}
	for _, version := range owner.kept {
		if version.Position.Revision >= revision {
			versions = append(versions, version)
		}
	}
	slices.SortFunc(versions, func(left, right contract.Version) int { return left.Position.Compare(right.Position) })
	return versions
}
