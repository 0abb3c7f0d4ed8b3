package control

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// keyBytes is the number of random bytes of a new API key.
const keyBytes = 24

// NewKey prints a new API key and its digest. The key is for the caller; the digest is for a key line of the rules file.
func (control *Control) NewKey() error {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	_, err := fmt.Fprintf(control.Out, "key     %s\ndigest  %s\n", key, rules.DigestKey(key))
	return err
}
