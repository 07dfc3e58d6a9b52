package runner

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"bamboohill/operator/internal/caller"

	"github.com/urfave/cli/v3"
)

// keyDigits is the number of leading digits of its hash that identify a caller key.
const keyDigits = 12

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "caller keys of a client account",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "make a key and print it once; only its hash is kept", ArgsUsage: "ACCOUNT",
				Flags: changeFlags(), Action: action(1, createKey),
			},
			{
				Name: "revoke", Usage: "end a key, named by the first digits of its hash", ArgsUsage: "ACCOUNT DIGITS",
				Flags: changeFlags(), Action: action(2, func(ctx context.Context, s *session, args []string) error {
					path := keysPath(args[0]) + "/" + url.PathEscape(args[1])
					return s.send(ctx, caller.Call{Method: http.MethodDelete, Path: path}, "account/"+args[0])
				}),
			},
			{Name: "list", Usage: "list the keys by their hashes' first digits", ArgsUsage: "ACCOUNT", Action: action(1, listKeys)},
		},
	}
}

func keysPath(account string) string { return "/admin/accounts/" + url.PathEscape(account) + "/keys" }

// createKey creates a key locally, prints it, and sends only its hash.
func createKey(ctx context.Context, s *session, args []string) error {
	secret := "bh-" + newID() + newID()
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	body, err := json.Marshal(map[string]string{"hash": hash})
	if err != nil {
		return err
	}
	// The key is printed first: a change whose answer is lost may have been made.
	s.PrintLine("key    %s\ndigits %s\nKeep the key now; it is not shown again.", secret, hash[:keyDigits])
	if err := s.PrintJSON(map[string]string{"key": secret, "digits": hash[:keyDigits]}); err != nil {
		return err
	}
	return s.send(ctx, caller.Call{Method: http.MethodPost, Path: keysPath(args[0]), Body: body}, "account/"+args[0])
}

func listKeys(ctx context.Context, s *session, args []string) error {
	r, err := s.readRow(ctx, "account/"+args[0])
	if err != nil {
		return err
	}
	if r.Version == 0 {
		return &caller.Error{Code: "no_row", Message: "there is no such account"}
	}
	var record struct {
		Account struct {
			Keys []string `json:"keys"`
		} `json:"account"`
	}
	if err := json.Unmarshal(r.Record, &record); err != nil {
		return err
	}
	digits := []string{}
	var table [][]string
	for _, k := range record.Account.Keys {
		hash, err := base64.StdEncoding.DecodeString(k)
		if err != nil {
			return fmt.Errorf("key of account %s: %w", args[0], err)
		}
		text := hex.EncodeToString(hash)
		text = text[:min(keyDigits, len(text))]
		digits = append(digits, text)
		table = append(table, []string{text})
	}
	return s.Print(digits, []string{"DIGITS"}, table)
}

func pardonCommand() *cli.Command {
	return &cli.Command{
		Name: "pardon", Usage: "requests that were convicted of crashing backend servers",
		Commands: []*cli.Command{
			{
				Name: "add", Usage: "let a convicted request run again", ArgsUsage: "FINGERPRINT", Flags: changeFlags(),
				Action: action(1, func(ctx context.Context, s *session, args []string) error {
					key := "pardon/" + args[0]
					existing, err := s.readRow(ctx, key)
					if err != nil {
						return err
					}
					record, err := json.Marshal(map[string]any{"pardon": map[string]string{"fingerprint": args[0]}})
					if err != nil {
						return err
					}
					return s.changeRow(ctx, http.MethodPut, key, existing.Version, record, "")
				}),
			},
			{
				Name: "remove", Usage: "take a pardon back", ArgsUsage: "FINGERPRINT", Flags: changeFlags(),
				Action: action(1, func(ctx context.Context, s *session, args []string) error {
					existing, err := s.readRow(ctx, "pardon/"+args[0])
					if err != nil {
						return err
					}
					return s.changeRow(ctx, http.MethodDelete, "pardon/"+args[0], existing.Version, nil, "")
				}),
			},
			{Name: "list", Usage: "list pardons", Action: list("pardon")},
		},
	}
}
