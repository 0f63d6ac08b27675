package cmds

import (
	"fmt"
	"os"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/conf"
)

// contractCommand groups the operator commands that change and print contracts.
type contractCommand struct {
	Put    contractPut    `cmd:"" help:"Create or change a contract from an INI file with its contract and class sections."`
	Retire contractRetire `cmd:"" help:"Retire a contract; its customer is refused from then on."`
	List   contractList   `cmd:"" help:"Print every contract in the form that put reads."`
	Show   contractShow   `cmd:"" help:"Print a contract in the form that put reads, and its revision."`
}

type contractPut struct {
	changeFlags
	File string `arg:"" type:"existingfile" help:"INI file with one contract."`
}

// Run implements the command contract put.
func (c *contractPut) Run(rc *runContext) (err error) {
	contracts, err := conf.ReadContracts(c.File)
	if err != nil {
		return err
	}
	if len(contracts) != 1 {
		return fmt.Errorf("file %s must contain exactly one contract, not %d", c.File, len(contracts))
	}
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.PutContract(rc.ctx, c.change(), contracts[0])
	})
}

type contractRetire struct {
	changeFlags
	Customer string `arg:"" help:"Customer of the contract."`
}

// Run implements the command contract retire.
func (c *contractRetire) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.RetireContract(rc.ctx, c.change(), c.Customer)
	})
}

type contractList struct {
	adminFlags
}

// Run implements the command contract list.
func (c *contractList) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	contracts, err := client.Contracts(rc.ctx)
	if err != nil {
		return err
	}
	return printContracts(contracts)
}

type contractShow struct {
	adminFlags
	Customer string `arg:"" help:"Customer of the contract."`
}

// Run implements the command contract show.
func (c *contractShow) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	contract, err := client.Contract(rc.ctx, c.Customer)
	if err != nil {
		return err
	}
	return printContracts([]model.Contract{contract})
}

// printContracts prints contracts in INI. The revisions are comments, so that the
// output can be edited and passed to contract put.
func printContracts(contracts []model.Contract) error {
	for _, c := range contracts {
		fmt.Printf("# contract %s is at revision %d\n", c.Customer, c.Revision)
	}
	return conf.WriteContracts(os.Stdout, contracts)
}
