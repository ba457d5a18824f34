package manifest

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/benbjohnson/immutable"
)

// KeyDigest is the SHA-256 of a caller's key. Keys are looked up by it, so that the time of a look-up tells nothing of a key.
type KeyDigest [sha256.Size]byte

// DigestKey gives the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is an organisation. Its callers show one of its keys, of which a node keeps the digests alone; Regions, if any, are the only ones
// that may serve or hold its calls.
type Tenant struct {
	Name    string
	Keys    []KeyDigest
	Regions []string
}

// Tenants are found by name and by key. They are immutable: With and Without give other ones that share all tenants they have in common.
// The zero value holds none.
type Tenants struct {
	byName *immutable.SortedMap[string, *Tenant]
	byKey  *immutable.Map[KeyDigest, *Tenant]
}

// digestHasher hashes and compares digests for the map of keys; a digest is as good as random, so that its first bytes are its hash.
type digestHasher struct{}

func (digestHasher) Hash(digest KeyDigest) uint32       { return binary.BigEndian.Uint32(digest[:]) }
func (digestHasher) Equal(digest, other KeyDigest) bool { return digest == other }

var (
	noTenants = immutable.NewSortedMap[string, *Tenant](nil)
	noKeys    = immutable.NewMap[KeyDigest, *Tenant](digestHasher{})
)

func (tenants Tenants) maps() (*immutable.SortedMap[string, *Tenant], *immutable.Map[KeyDigest, *Tenant]) {
	if tenants.byName == nil {
		return noTenants, noKeys
	}
	return tenants.byName, tenants.byKey
}

// Len is how many tenants there are.
func (tenants Tenants) Len() int {
	byName, _ := tenants.maps()
	return byName.Len()
}

// Get gives the tenant of a name.
func (tenants Tenants) Get(name string) (Tenant, bool) {
	byName, _ := tenants.maps()
	if tenant, there := byName.Get(name); there {
		return *tenant, true
	}
	return Tenant{}, false
}

// All calls visit for each tenant, in the order of names, until visit returns true.
func (tenants Tenants) All(visit func(tenant Tenant) bool) {
	byName, _ := tenants.maps()
	for iterator := byName.Iterator(); !iterator.Done(); {
		if _, tenant, _ := iterator.Next(); visit(*tenant) {
			return
		}
	}
}

// Holder gives the tenant that holds a key.
func (tenants Tenants) Holder(key KeyDigest) (Tenant, bool) {
	_, byKey := tenants.maps()
	if tenant, there := byKey.Get(key); there {
		return *tenant, true
	}
	return Tenant{}, false
}

// With gives tenants with another one, in the place of one of the same name. A key that another tenant holds stays that one's.
func (tenants Tenants) With(tenant Tenant) Tenants {
	tenants = tenants.Without(tenant.Name)
	byName, byKey := tenants.maps()
	for _, key := range tenant.Keys {
		if _, held := byKey.Get(key); !held {
			byKey = byKey.Set(key, &tenant)
		}
	}
	return Tenants{byName: byName.Set(tenant.Name, &tenant), byKey: byKey}
}

// Without gives tenants without one.
func (tenants Tenants) Without(name string) Tenants {
	byName, byKey := tenants.maps()
	former, there := byName.Get(name)
	if !there {
		return tenants
	}
	for _, key := range former.Keys {
		if holder, _ := byKey.Get(key); holder == former {
			byKey = byKey.Delete(key)
		}
	}
	return Tenants{byName: byName.Delete(name), byKey: byKey}
}

// sharer gives the name of another tenant that holds a key of this one.
func (tenants Tenants) sharer(tenant Tenant) (string, bool) {
	for _, key := range tenant.Keys {
		if holder, held := tenants.Holder(key); held && holder.Name != tenant.Name {
			return holder.Name, true
		}
	}
	return "", false
}

// tenant reads one tenant. No error names a key.
func (reader *Reader) tenant(name string) Tenant {
	tenant := Tenant{Name: name, Regions: reader.Texts("regions")}
	for _, key := range reader.Texts("keys") {
		if key == "" {
			reader.Wrong("keys", "a key is empty")
			continue
		}
		tenant.Keys = append(tenant.Keys, DigestKey(key))
	}
	return tenant
}
