// Command lentilstand serves stand-ins of the systems that lentilmux meets:
// model engines, plain services, the platform's log and its list of VMs. It is
// for tests and first steps, not for production.
//
// # Usage
//
//	lentilstand --platform-addr 127.0.0.1:9000 --engines 4 --engine-addr 127.0.0.1:9100 \
//		--services 1 --service-addr 127.0.0.1:9200 --zones kochi,thrissur \
//		--entries entry-1=kochi=127.0.0.1:7101
//
// It prints the statements that configure what it serves. Faults are made at
// the platform address: POST /faults?target=worker-1&fault=kill.
package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/settings"
	"lentilmux.example/lentilmux/standin"
)

// version is the program's version.
const version = "0.1.0"

// options are the program's settings.
type options struct {
	platformAddr *netip.AddrPort
	engines      *int
	engineAddr   *netip.AddrPort
	enginePrefix *string
	services     *int
	serviceAddr  *netip.AddrPort
	zones        *[]string
	layers       *[]string
	rates        *[]string
	slots        *[]string
	reportLag    *time.Duration
	listLag      *time.Duration
	appendDelay  *time.Duration
	layerLoad    *time.Duration
	link         *time.Duration
	serviceDelay *time.Duration
	restart      *time.Duration
	ignoreFence  *bool
	entries      *[]string
}

func declare(s *settings.Set) *options {
	return &options{
		platformAddr: s.AddrPort("platform-addr", "127.0.0.1:9000", "address of the log, the list and the faults"),
		engines:      s.Int("engines", 2, 0, 200, "number of engines"),
		engineAddr:   s.AddrPort("engine-addr", "127.0.0.1:9100", "address of the first engine; the others follow"),
		enginePrefix: s.String("engine-prefix", "worker-", "start of the engines' names"),
		services:     s.Int("services", 1, 0, 50, "number of plain services"),
		serviceAddr:  s.AddrPort("service-addr", "127.0.0.1:9500", "address of the first service; the others follow"),
		zones:        s.Strings("zones", "kochi,thrissur,kozhikode", "availability zones, given out in turn"),
		layers:       s.Strings("layers", "16,24", "most layers of an engine, given out in turn"),
		rates:        s.Strings("rates", "4000,8000", "layer steps a second of an engine, given out in turn"),
		slots:        s.Strings("slots", "8", "requests at once of an engine, given out in turn"),
		reportLag:    s.Duration("report-lag", 300*time.Millisecond, 0, time.Minute, "age of what engines report"),
		listLag:      s.Duration("list-lag", time.Second, 0, time.Minute, "lag of the list of VMs"),
		appendDelay:  s.Duration("append-delay", 2*time.Millisecond, 0, time.Minute, "time of an append to the log"),
		layerLoad:    s.Duration("layer-load", 2*time.Millisecond, 0, time.Minute, "time of the weight store for a layer"),
		link:         s.Duration("link", 0, 0, time.Second, "delay of an engine's step, one way"),
		serviceDelay: s.Duration("service-delay", 5*time.Millisecond, 0, time.Minute, "time of a call to a service"),
		restart:      s.Duration("restart", 3*time.Second, 0, time.Hour, "time after which a crashed engine comes back"),
		ignoreFence:  s.Bool("ignore-fence", "engines obey orders with old fencing numbers"),
		entries:      s.Strings("entries", "", "entry VMs of the list, as name=zone=address"),
	}
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until the process is told to stop.
func run() (err error) {
	set := settings.New("lentilstand", "LENTILSTAND", "Stand-ins of the systems that lentilmux meets.", version)
	o := declare(set)
	if err := set.Read(os.Args[1:], os.LookupEnv); err != nil {
		return err
	}
	s, err := build(o)
	if err != nil {
		return err
	}
	for _, host := range s.hosts {
		if err := host.Open(); err != nil {
			return err
		}
		defer host.Close()
	}
	for _, statement := range s.statements {
		fmt.Println(statement)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

// system is everything that the process serves.
type system struct {
	hosts      []*standin.Host
	statements []string
	list       []lentilmux.ListedVM
	control    *standin.FaultInjector
}

// build makes the stand-ins that the settings describe.
func build(o *options) (s *system, err error) {
	defer errors.DeferredAnnotatef(&err, "building the stand-ins")
	s = &system{control: &standin.FaultInjector{
		Engines: make(map[string]*standin.Engine), Services: make(map[string]*standin.Service), Hosts: make(map[string]*standin.Host),
		Log: standin.NewLog(*o.appendDelay), VMList: standin.NewVMList(*o.listLag),
	}}
	store := standin.NewWeightStore(*o.layerLoad)
	for i := range *o.engines {
		if err := s.addEngine(o, i, store); err != nil {
			return nil, err
		}
	}
	for i := range *o.services {
		s.addService(o, i)
	}
	if err := s.addEntries(*o.entries); err != nil {
		return nil, err
	}
	s.control.VMList.Set(s.list)
	mux := http.NewServeMux()
	mux.Handle("/", standin.PlatformHandler(s.control.Log, s.control.VMList))
	mux.Handle("/faults", s.control)
	mux.Handle("/ledger", s.control)
	s.hosts = append(s.hosts, standin.NewHost(*o.platformAddr, mux))
	return s, nil
}

// following returns the address n ports after addr.
func following(addr netip.AddrPort, n int) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(n))
}

// inTurn returns the number that falls to the n-th of a list.
func inTurn(list []string, n int) (number int, err error) {
	return strconv.Atoi(list[n%len(list)])
}

func (s *system) addEngine(o *options, i int, store *standin.WeightStore) (err error) {
	layers, err := inTurn(*o.layers, i)
	if err != nil {
		return err
	}
	rate, err := inTurn(*o.rates, i)
	if err != nil {
		return err
	}
	slots, err := inTurn(*o.slots, i)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%d", *o.enginePrefix, i+1)
	addr := following(*o.engineAddr, i)
	zone := (*o.zones)[i%len(*o.zones)]
	engine := standin.NewEngine(standin.EngineSpec{
		Name: name, Layers: layers, Rate: rate, Slots: slots, ReportLag: *o.reportLag, LinkDelay: *o.link,
		IgnoresFence: *o.ignoreFence, Store: store, RestartDelay: *o.restart,
	})
	host := standin.NewHost(addr, standin.EngineHandler(engine))
	engine.OnAliveChange(func(alive bool) { switchHost(host, alive) })
	s.control.Engines[name] = engine
	s.add(name, host, lentilmux.ListedVM{Name: name, Role: lentilmux.RoleUpstream, Zone: zone, Addr: addr})
	s.statements = append(s.statements, fmt.Sprintf(
		"create upstream %s kind engine addr %s zone %s accelerator kind-%d layers %d rate %d slots %d",
		name, addr, zone, i%len(*o.rates)+1, layers, rate, slots))
	return nil
}

func (s *system) addService(o *options, i int) {
	name := fmt.Sprintf("service-%d", i+1)
	addr := following(*o.serviceAddr, i)
	zone := (*o.zones)[i%len(*o.zones)]
	service := standin.NewService(name, *o.serviceDelay)
	host := standin.NewHost(addr, standin.ServiceHandler(service))
	service.OnAliveChange(func(alive bool) { switchHost(host, alive) })
	s.control.Services[name] = service
	s.add(name, host, lentilmux.ListedVM{Name: name, Role: lentilmux.RoleUpstream, Zone: zone, Addr: addr})
	s.statements = append(s.statements, fmt.Sprintf("create upstream %s kind service addr %s zone %s slots 64", name, addr, zone))
}

func (s *system) add(name string, host *standin.Host, vm lentilmux.ListedVM) {
	s.hosts = append(s.hosts, host)
	s.control.Hosts[name] = host
	s.list = append(s.list, vm)
}

// switchHost opens or closes a host as its stand-in lives or dies.
func switchHost(host *standin.Host, alive bool) {
	if !alive {
		go host.Close()
		return
	}
	go func() {
		if err := host.Open(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
}

// addEntries lists the entry VMs.
func (s *system) addEntries(entries []string) (err error) {
	for _, entry := range entries {
		if entry == "" {
			continue
		}
		parts := strings.Split(entry, "=")
		if len(parts) != 3 {
			return errors.Errorf("entry VM %q is not name=zone=address", entry)
		}
		addr, err := netip.ParseAddrPort(parts[2])
		if err != nil {
			return err
		}
		s.list = append(s.list, lentilmux.ListedVM{Name: parts[0], Role: lentilmux.RoleEntry, Zone: parts[1], Addr: addr})
	}
	return nil
}
