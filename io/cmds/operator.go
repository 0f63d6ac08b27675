package cmds

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/peer"
)

// adminFlags select the VM to which a request is sent, and the TLS files for it.
type adminFlags struct {
	Admin string `required:"" placeholder:"ADDR" help:"Admin address of any VM, such as 127.0.0.1:7401."`
	Cert  string `placeholder:"FILE" help:"TLS certificate of the operator, where the VMs use TLS; with --key and --ca."`
	Key   string `placeholder:"FILE" help:"TLS key of the operator."`
	CA    string `placeholder:"FILE" help:"TLS authority that signs the VMs' certificates."`
}

func (f adminFlags) client() (*admin.Client, error) {
	addr, err := netip.ParseAddrPort(f.Admin)
	if err != nil {
		return nil, fmt.Errorf("--admin: %w", err)
	}
	tlsConfig, err := peer.TLSFiles{CA: f.CA, Cert: f.Cert, Key: f.Key}.Load()
	if err != nil {
		return nil, err
	}
	return &admin.Client{Addr: addr, TLS: tlsConfig}, nil
}

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	adminFlags
	Expect    uint64 `placeholder:"REVISION" help:"Revision of the object that the change is based on; without it the object must not exist."`
	Operation string `placeholder:"ID" help:"Operation id. A resend with the same id gets the first result."`
}

func (f changeFlags) change() admin.ChangeHeaders {
	return admin.ChangeHeaders{Operation: f.Operation, ExpectedRevision: model.Revision(f.Expect)}
}

// send sends a change to the VM and prints the result.
func (f changeFlags) send(change func(c *admin.Client) (admin.Result, error)) (err error) {
	client, err := f.client()
	if err != nil {
		return err
	}
	result, err := change(client)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}
